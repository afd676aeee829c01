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

/** Operations on voter sets. */
public final class VoterSets {
  private VoterSets() {}

  /** Parses a voter set that this project wrote. */
  public static VoterSet parse(ByteString data) {
    try {
      return VoterSet.parseFrom(data);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("a voter set in the log cannot be parsed", e);
    }
  }

  /** Returns the identities that vote. */
  public static Set<String> voterIds(VoterSet set) {
    return set.getVotersList().stream().map(Voter::getIdentity).collect(Collectors.toSet());
  }

  /** Returns whether the identity is a voter. */
  public static boolean isVoter(VoterSet set, String identity) {
    return set.getVotersList().stream().anyMatch(v -> v.getIdentity().equals(identity));
  }

  /** Returns the identities that receive the log, voters first. */
  public static List<String> memberIds(VoterSet set) {
    return Stream.concat(set.getVotersList().stream(), set.getLearnersList().stream())
        .map(Voter::getIdentity)
        .distinct()
        .toList();
  }

  /** Returns whether {@code members} hold a majority of the set's voters. */
  public static boolean isQuorum(VoterSet set, Collection<String> members) {
    long held = set.getVotersList().stream().filter(v -> members.contains(v.getIdentity())).count();
    return held * 2 > set.getVotersCount();
  }

  /** Returns whether two sets differ by at most one voter, so that their quorums overlap. */
  public static boolean differByAtMostOneVoter(VoterSet before, VoterSet after) {
    Set<String> all = new HashSet<>(voterIds(before));
    all.addAll(voterIds(after));
    Set<String> both = new HashSet<>(voterIds(before));
    both.retainAll(voterIds(after));
    return all.size() - both.size() <= 1;
  }

  /** Returns the set with the voter as a learner. */
  public static VoterSet withLearner(VoterSet set, Voter learner) {
    return without(set, learner.getIdentity()).toBuilder().addLearners(learner).build();
  }

  /** Returns the set with the learner as a voter. */
  public static VoterSet withVoter(VoterSet set, Voter voter) {
    return without(set, voter.getIdentity()).toBuilder().addVoters(voter).build();
  }

  /** Returns the set without the identity. */
  public static VoterSet without(VoterSet set, String identity) {
    VoterSet.Builder result = VoterSet.newBuilder();
    set.getVotersList().stream()
        .filter(v -> !v.getIdentity().equals(identity))
        .forEach(result::addVoters);
    set.getLearnersList().stream()
        .filter(v -> !v.getIdentity().equals(identity))
        .forEach(result::addLearners);
    return result.build();
  }
}
