package org.curranthaven.internal.routing;

import java.util.TreeSet;

/**
 * Time slots in which the hosts of a fleet may use a backend server that lacks the capacity for one
 * request from each of them.
 *
 * <p>Hosts learn of each other's decisions with a delay, so without slots all of them would fill
 * the same free memory. For each backend server one host owns the current slot; the owner follows
 * from the hosts' names and the time alone, without communication. Clock differences make slots of
 * two hosts overlap at times, but on average one host owns the slot. Not thread-safe.
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

  /** Removes a host; this host is never removed. */
  void remove(String host) {
    if (!host.equals(self)) {
      hosts.remove(host);
    }
  }

  /** Returns the number of hosts, including this one. */
  int count() {
    return hosts.size();
  }

  /**
   * Returns whether this host owns the backend server's current slot; always true with a single
   * host or a slot length of 0.
   */
  boolean ownsSlot(String backend, long nowMillis, long slotMillis) {
    if (slotMillis == 0 || hosts.size() == 1) {
      return true;
    }
    long slot = Math.floorDiv(nowMillis, slotMillis) + backend.hashCode();
    int ownIndex = hosts.headSet(self).size();
    return Math.floorMod(slot, hosts.size()) == ownIndex;
  }
}
