package org.curranthaven.internal.consensus;

import java.util.Collection;
import java.util.Optional;
import org.curranthaven.internal.transport.wire.Voter;
import org.curranthaven.internal.transport.wire.VoterSet;

/** Determines the next voter change of a group from the state of its leader. */
public final class VoterChange {
  private VoterChange() {}

  /**
   * Returns the voter set that the leader should propose next, or empty if no change is needed.
   *
   * @param targetVoterCount number of voters that the group should have
   * @param self identity of the leader
   * @param connectedHosts control hosts that the leader can reach, including itself
   */
  public static Optional<VoterSet> next(
      RaftCore core,
      int targetVoterCount,
      String self,
      Collection<Voter> connectedHosts,
      long nowMillis) {
    return new VoterPolicy(targetVoterCount)
        .next(
            new VoterPolicy.GroupStatus(
                core.voters(),
                self,
                connectedHosts,
                identity -> core.isCaughtUp(identity, nowMillis),
                core::lastAcknowledgedMillis,
                nowMillis));
  }
}
