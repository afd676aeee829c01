package org.curranthaven.internal.consensus;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.curranthaven.internal.transport.wire.Voter;
import org.curranthaven.internal.transport.wire.VoterSet;

/**
 * Decides the next change of a group's voters: one at a time, a replacement before a removal, and
 * never a removal that leaves fewer voters alive than a majority of the rest.
 */
final class VoterPolicy {
  /**
   * Silence after which a voter counts as lost, in milliseconds. A successor must be a voter within
   * 4 s of its start, or the loss of two more hosts leaves no majority. A voter is replaced only
   * where a host without a vote is connected, so that a short silence costs nothing elsewhere.
   */
  static final long VOTER_LOST_TIMEOUT_MILLIS = 2_000;

  private final int targetVoterCount;

  VoterPolicy(int votersWanted) {
    this.targetVoterCount = votersWanted;
  }

  /**
   * What the leader knows when it decides.
   *
   * @param currentVoters voter set in force
   * @param self identity of the leader
   * @param connectedHosts control hosts that are connected now, the leader's included
   * @param caughtUp whether a learner may become a voter
   * @param lastAcknowledgedMillis when a replica last answered
   */
  record GroupStatus(
      VoterSet currentVoters,
      String self,
      Collection<Voter> connectedHosts,
      Predicate<String> caughtUp,
      ToLongFunction<String> lastAcknowledgedMillis,
      long nowMillis) {

    boolean isLost(Voter voter) {
      if (voter.getIdentity().equals(self)) {
        return false;
      }
      boolean silent =
          nowMillis - lastAcknowledgedMillis.applyAsLong(voter.getIdentity())
              > VOTER_LOST_TIMEOUT_MILLIS;
      return silent || hostHasNewDataFolder(voter);
    }

    /** Returns whether the voter's host is back with another data folder. */
    private boolean hostHasNewDataFolder(Voter voter) {
      return connectedHosts.stream()
          .anyMatch(
              other ->
                  other.getHost().equals(voter.getHost())
                      && !other.getIdentity().equals(voter.getIdentity()));
    }

    boolean isConnected(Voter voter) {
      return connectedHosts.stream().anyMatch(c -> c.getIdentity().equals(voter.getIdentity()));
    }
  }

  /** Returns the voter set to propose next, if a change is due. */
  Optional<VoterSet> next(GroupStatus situation) {
    VoterSet current = situation.currentVoters();
    Optional<Voter> lost = current.getVotersList().stream().filter(situation::isLost).findFirst();
    if (lost.isPresent() && mayRemove(current, lost.get(), situation)) {
      return Optional.of(VoterSets.without(current, lost.get().getIdentity()));
    }
    Optional<Voter> deadLearner =
        current.getLearnersList().stream().filter(l -> !situation.isConnected(l)).findFirst();
    if (deadLearner.isPresent()) {
      return Optional.of(VoterSets.without(current, deadLearner.get().getIdentity()));
    }
    boolean voterNeeded = current.getVotersCount() < targetVoterCount || lost.isPresent();
    if (!voterNeeded) {
      return Optional.empty();
    }
    Optional<Voter> ready =
        current.getLearnersList().stream()
            .filter(learner -> situation.caughtUp().test(learner.getIdentity()))
            .findFirst();
    if (ready.isPresent()) {
      return Optional.of(VoterSets.withVoter(current, ready.get()));
    }
    if (current.getLearnersCount() > 0) {
      return Optional.empty();
    }
    return findSpareHost(current, situation).map(host -> VoterSets.withLearner(current, host));
  }

  private boolean mayRemove(VoterSet current, Voter lost, GroupStatus situation) {
    VoterSet rest = VoterSets.without(current, lost.getIdentity());
    long alive = rest.getVotersList().stream().filter(voter -> !situation.isLost(voter)).count();
    return rest.getVotersCount() >= targetVoterCount && alive * 2 > rest.getVotersCount();
  }

  private static Optional<Voter> findSpareHost(VoterSet current, GroupStatus situation) {
    List<String> members = VoterSets.memberIds(current);
    return situation.connectedHosts().stream()
        .filter(host -> !members.contains(host.getIdentity()))
        .min(Comparator.comparing(Voter::getHost));
  }
}
