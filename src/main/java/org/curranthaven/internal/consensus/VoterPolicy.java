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
 * Decides the next change of a group's voter set. Changes are made one at a time; a replacement is
 * added before a lost voter is removed, and a voter is removed only if a majority of the remaining
 * voters is alive.
 */
final class VoterPolicy {
  /**
   * Time without a reply after which a voter counts as lost, in milliseconds. A replacement must
   * become a voter within 4 s of its start, or the loss of two more hosts leaves no majority. A
   * voter is replaced only when a non-voting control host is connected, so a short interruption has
   * no effect in a group without a spare host.
   */
  static final long VOTER_LOST_TIMEOUT_MILLIS = 2_000;

  private final int targetVoterCount;

  VoterPolicy(int targetVoterCount) {
    this.targetVoterCount = targetVoterCount;
  }

  /**
   * The leader's knowledge of its group.
   *
   * @param currentVoters latest voter set
   * @param self identity of the leader
   * @param connectedHosts control hosts that are connected now, including the leader's own
   * @param caughtUp returns whether the learner with the given identity may become a voter
   * @param lastAcknowledgedMillis returns the send time of the latest message that the replica with
   *     the given identity replied to
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
      boolean unresponsive =
          nowMillis - lastAcknowledgedMillis.applyAsLong(voter.getIdentity())
              > VOTER_LOST_TIMEOUT_MILLIS;
      return unresponsive || hostHasNewDataFolder(voter);
    }

    /** Returns whether the voter's host is connected with a different data folder. */
    private boolean hostHasNewDataFolder(Voter voter) {
      return connectedHosts.stream()
          .anyMatch(
              host ->
                  host.getHost().equals(voter.getHost())
                      && !host.getIdentity().equals(voter.getIdentity()));
    }

    boolean isConnected(Voter voter) {
      return connectedHosts.stream()
          .anyMatch(host -> host.getIdentity().equals(voter.getIdentity()));
    }
  }

  /** Returns the voter set to propose next, or empty if no change is needed. */
  Optional<VoterSet> next(GroupStatus status) {
    VoterSet current = status.currentVoters();
    Optional<Voter> lost = current.getVotersList().stream().filter(status::isLost).findFirst();
    if (lost.isPresent() && mayRemove(current, lost.get(), status)) {
      return Optional.of(VoterSets.without(current, lost.get().getIdentity()));
    }
    Optional<Voter> disconnectedLearner =
        current.getLearnersList().stream()
            .filter(learner -> !status.isConnected(learner))
            .findFirst();
    if (disconnectedLearner.isPresent()) {
      return Optional.of(VoterSets.without(current, disconnectedLearner.get().getIdentity()));
    }
    boolean voterNeeded = current.getVotersCount() < targetVoterCount || lost.isPresent();
    if (!voterNeeded) {
      return Optional.empty();
    }
    Optional<Voter> promotable =
        current.getLearnersList().stream()
            .filter(learner -> status.caughtUp().test(learner.getIdentity()))
            .findFirst();
    if (promotable.isPresent()) {
      return Optional.of(VoterSets.withVoter(current, promotable.get()));
    }
    if (current.getLearnersCount() > 0) {
      return Optional.empty();
    }
    return findSpareHost(current, status).map(host -> VoterSets.withLearner(current, host));
  }

  private boolean mayRemove(VoterSet current, Voter lost, GroupStatus status) {
    VoterSet remaining = VoterSets.without(current, lost.getIdentity());
    long alive = remaining.getVotersList().stream().filter(voter -> !status.isLost(voter)).count();
    return remaining.getVotersCount() >= targetVoterCount && alive * 2 > remaining.getVotersCount();
  }

  private static Optional<Voter> findSpareHost(VoterSet current, GroupStatus status) {
    List<String> members = VoterSets.memberIds(current);
    return status.connectedHosts().stream()
        .filter(host -> !members.contains(host.getIdentity()))
        .min(Comparator.comparing(Voter::getHost));
  }
}
