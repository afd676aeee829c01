package org.curranthaven.internal.consensus;

import java.util.Collection;
import java.util.Set;
import java.util.stream.Collectors;
import org.curranthaven.internal.transport.wire.HostRecord;

/**
 * Decides whether a control host with an empty data folder may bootstrap the consensus groups.
 *
 * <p>It may only if it has the lowest peer address of the control hosts named in the settings, and
 * all of these are connected and have empty data folders, since then no host can have accepted a
 * command yet. Otherwise it waits until a leader adds it to the groups.
 */
final class GroupBootstrap {
  private GroupBootstrap() {}

  /**
   * Returns whether {@code self} may bootstrap the groups.
   *
   * @param contacts peer addresses of the control hosts in the settings, the same on each host
   * @param connectedControlHosts control hosts that are connected, excluding this one
   */
  static boolean mayBootstrap(
      HostRecord self, Collection<String> contacts, Collection<HostRecord> connectedControlHosts) {
    Set<String> connectedAddresses =
        connectedControlHosts.stream().map(HostRecord::getPeerAddress).collect(Collectors.toSet());
    connectedAddresses.add(self.getPeerAddress());
    boolean allEmpty = connectedControlHosts.stream().noneMatch(HostRecord::getFormed);
    boolean hasLowestAddress =
        contacts.stream()
            .min(String::compareTo)
            .equals(java.util.Optional.of(self.getPeerAddress()));
    return !self.getFormed()
        && hasLowestAddress
        && allEmpty
        && connectedAddresses.containsAll(contacts);
  }
}
