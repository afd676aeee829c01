package org.curranthaven.internal.consensus;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.curranthaven.internal.transport.wire.Voter;
import org.curranthaven.internal.transport.wire.VoterSet;

/** Operations on {@link VoterSet} messages. */
public final class VoterSets {
  private VoterSets() {}

  /**
   * Parses a voter set from a log entry or snapshot.
   *
   * @throws IllegalStateException if the data is not a voter set
   */
  public static VoterSet parse(ByteString data) {
    try {
      return VoterSet.parseFrom(data);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(
          "voter set in the consensus log cannot be parsed; check that all hosts run compatible"
              + " versions",
          e);
    }
  }

  /** Returns the identities of the voters. */
  public static Set<String> voterIds(VoterSet set) {
    return set.getVotersList().stream().map(Voter::getIdentity).collect(Collectors.toSet());
  }

  /** Returns whether the identity is a voter. */
  public static boolean isVoter(VoterSet set, String identity) {
    return set.getVotersList().stream().anyMatch(voter -> voter.getIdentity().equals(identity));
  }

  /** Returns the identities of all voters and learners, voters first. */
  public static List<String> memberIds(VoterSet set) {
    return Stream.concat(set.getVotersList().stream(), set.getLearnersList().stream())
        .map(Voter::getIdentity)
        .distinct()
        .toList();
  }

  /** Returns whether {@code members} contains a majority of the set's voters. */
  public static boolean isQuorum(VoterSet set, Collection<String> members) {
    long votes =
        set.getVotersList().stream().filter(voter -> members.contains(voter.getIdentity())).count();
    return votes * 2 > set.getVotersCount();
  }

  /**
   * Returns whether two sets differ by at most one voter, which ensures that their quorums overlap.
   */
  public static boolean differByAtMostOneVoter(VoterSet before, VoterSet after) {
    Set<String> union = new HashSet<>(voterIds(before));
    union.addAll(voterIds(after));
    Set<String> intersection = new HashSet<>(voterIds(before));
    intersection.retainAll(voterIds(after));
    return union.size() - intersection.size() <= 1;
  }

  /** Returns the set with the replica added as a learner, or demoted to one. */
  public static VoterSet withLearner(VoterSet set, Voter learner) {
    return without(set, learner.getIdentity()).toBuilder().addLearners(learner).build();
  }

  /** Returns the set with the replica added as a voter, or promoted to one. */
  public static VoterSet withVoter(VoterSet set, Voter voter) {
    return without(set, voter.getIdentity()).toBuilder().addVoters(voter).build();
  }

  /** Returns the set without the replica, whether it is a voter or a learner. */
  public static VoterSet without(VoterSet set, String identity) {
    VoterSet.Builder result = VoterSet.newBuilder();
    set.getVotersList().stream()
        .filter(member -> !member.getIdentity().equals(identity))
        .forEach(result::addVoters);
    set.getLearnersList().stream()
        .filter(member -> !member.getIdentity().equals(identity))
        .forEach(result::addLearners);
    return result.build();
  }
}
