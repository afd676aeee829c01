package org.curranthaven.internal.consensus;

import java.util.Collection;
import org.curranthaven.internal.transport.wire.HostRecord;

/**
 * Decides whether a control host with an empty data folder may found the groups.
 *
 * <p>It may only if every control host named in its settings is connected, all of them are empty
 * and it has the lowest name: then nothing can have been accepted anywhere. Otherwise it waits
 * until a leader takes it in.
 */
final class Formation {
  private Formation() {}

  /**
   * Returns whether {@code self} may found the groups.
   *
   * @param contactCount number of control hosts in the settings, this one included
   * @param connectedControl control hosts that are connected, this one excluded
   */
  static boolean mayFound(
      HostRecord self, int contactCount, Collection<HostRecord> connectedControl) {
    boolean allConnected = connectedControl.size() + 1 >= contactCount;
    boolean allEmpty = connectedControl.stream().noneMatch(HostRecord::getFormed);
    boolean lowest =
        connectedControl.stream().allMatch(other -> self.getName().compareTo(other.getName()) < 0);
    return !self.getFormed() && allConnected && allEmpty && lowest;
  }
}
