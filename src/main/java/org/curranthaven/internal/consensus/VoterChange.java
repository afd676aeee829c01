package org.curranthaven.internal.consensus;

import java.util.Collection;
import java.util.Optional;
import org.curranthaven.internal.transport.wire.Voter;
import org.curranthaven.internal.transport.wire.VoterSet;

/** Asks {@link VoterPolicy} on behalf of a leader. */
public final class VoterChange {
  private VoterChange() {}

  /**
   * Returns the voter set that the leader should propose next, if a change is due.
   *
   * @param votersWanted number of voters that the group should have
   * @param self identity of the leader
   * @param connected control hosts that the leader can reach, itself included
   */
  public static Optional<VoterSet> next(
      RaftCore core, int votersWanted, String self, Collection<Voter> connected, long nowMillis) {
    return new VoterPolicy(votersWanted)
        .next(
            new VoterPolicy.GroupStatus(
                core.voters(),
                self,
                connected,
                identity -> core.isCaughtUp(identity, nowMillis),
                core::lastAcknowledgedMillis,
                nowMillis));
  }
}
