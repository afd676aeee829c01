package org.curranthaven.internal.routing;

import java.util.TreeSet;

/**
 * Turns in which the hosts of a fleet may use a server that has no room for all of them at once.
 *
 * <p>Hosts learn of each other's choices with a lag, so that all of them would fill the same free
 * memory. Each server has one host at a time whose turn it is, found from the hosts' names and the
 * time alone. Where clocks differ, turns may overlap; on average still one host has the turn. Not
 * thread-safe.
 */
final class HostTimeSlots {
  private final String self;
  private final TreeSet<String> hosts = new TreeSet<>();

  HostTimeSlots(String self) {
    this.self = self;
    hosts.add(self);
  }

  void add(String host) {
    hosts.add(host);
  }

  void remove(String host) {
    if (!host.equals(self)) {
      hosts.remove(host);
    }
  }

  /** Returns the number of hosts, this one included. */
  int count() {
    return hosts.size();
  }

  /** Returns whether it is this host's turn at the server. */
  boolean ownsSlot(String server, long nowMillis, long turnMillis) {
    if (turnMillis == 0 || hosts.size() == 1) {
      return true;
    }
    long turn = Math.floorDiv(nowMillis, turnMillis) + server.hashCode();
    int place = hosts.headSet(self).size();
    return Math.floorMod(turn, hosts.size()) == place;
  }
}
