package org.curranthaven.internal.consensus;

import java.util.Collection;
import java.util.Set;
import java.util.stream.Collectors;
import org.curranthaven.internal.transport.wire.HostRecord;

/**
 * Decides whether a control host with an empty data folder may found the groups.
 *
 * <p>It may only if it has the lowest address of the control hosts named in the settings, and all
 * of these are connected and empty: then nothing can have been accepted anywhere. Otherwise it
 * waits until a leader takes it in.
 */
final class GroupBootstrap {
  private GroupBootstrap() {}

  /**
   * Returns whether {@code self} may found the groups.
   *
   * @param contacts peer addresses of the control hosts in the settings, the same on each of them
   * @param connectedControl control hosts that are connected, this one excluded
   */
  static boolean mayBootstrap(
      HostRecord self, Collection<String> contacts, Collection<HostRecord> connectedControl) {
    Set<String> present =
        connectedControl.stream().map(HostRecord::getPeerAddress).collect(Collectors.toSet());
    present.add(self.getPeerAddress());
    boolean allEmpty = connectedControl.stream().noneMatch(HostRecord::getFormed);
    boolean lowest =
        contacts.stream()
            .min(String::compareTo)
            .equals(java.util.Optional.of(self.getPeerAddress()));
    return !self.getFormed() && lowest && allEmpty && present.containsAll(contacts);
  }
}
