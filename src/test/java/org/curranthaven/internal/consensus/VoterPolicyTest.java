package org.curranthaven.internal.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.curranthaven.internal.transport.wire.HostRecord;
import org.curranthaven.internal.transport.wire.Voter;
import org.curranthaven.internal.transport.wire.VoterSet;
import org.junit.jupiter.api.Test;

class VoterPolicyTest {
  private final VoterPolicy policy = new VoterPolicy(3);

  private static Voter voter(String id, String host) {
    return Voter.newBuilder().setIdentity(id).setHost(host).build();
  }

  private static VoterSet set(String... ids) {
    VoterSet.Builder set = VoterSet.newBuilder();
    for (String id : ids) {
      set.addVoters(voter(id, "host-" + id));
    }
    return set.build();
  }

  private Optional<VoterSet> next(
      VoterSet current, List<Voter> connected, Set<String> caughtUp, Set<String> unresponsive) {
    return policy.next(
        new VoterPolicy.GroupStatus(
            current,
            "a",
            connected,
            caughtUp::contains,
            id -> unresponsive.contains(id) ? 0 : 100_000,
            100_000));
  }

  private static List<Voter> connected(String... ids) {
    List<Voter> voters = new ArrayList<>();
    for (String id : ids) {
      voters.add(voter(id, "host-" + id));
    }
    return voters;
  }

  @Test
  void a_group_without_lost_voters_is_not_changed() {
    assertThat(next(set("a", "b", "c"), connected("a", "b", "c", "d"), Set.of(), Set.of()))
        .isEmpty();
  }

  @Test
  void a_lost_voter_is_removed_only_after_its_replacement_was_added() {
    VoterSet initial = set("a", "b", "c");
    VoterSet withLearner =
        next(initial, connected("a", "b", "d"), Set.of(), Set.of("c")).orElseThrow();
    assertThat(withLearner.getLearnersList()).extracting(Voter::getIdentity).containsExactly("d");

    assertThat(next(withLearner, connected("a", "b", "d"), Set.of(), Set.of("c"))).isEmpty();
    VoterSet fourVoters =
        next(withLearner, connected("a", "b", "d"), Set.of("d"), Set.of("c")).orElseThrow();
    assertThat(VoterSets.voterIds(fourVoters)).containsExactlyInAnyOrder("a", "b", "c", "d");

    VoterSet threeVoters =
        next(fourVoters, connected("a", "b", "d"), Set.of("d"), Set.of("c")).orElseThrow();
    assertThat(VoterSets.voterIds(threeVoters)).containsExactlyInAnyOrder("a", "b", "d");
  }

  @Test
  void a_newly_started_host_replaces_a_voter_that_last_replied_three_seconds_ago() {
    Optional<VoterSet> next =
        policy.next(
            new VoterPolicy.GroupStatus(
                set("a", "b", "c"),
                "a",
                connected("a", "b", "d"),
                identity -> false,
                identity -> identity.equals("c") ? 97_000 : 100_000,
                100_000));

    assertThat(next.orElseThrow().getLearnersList())
        .extracting(Voter::getIdentity)
        .containsExactly("d");
  }

  @Test
  void a_lost_voter_is_kept_if_no_replacement_is_connected() {
    assertThat(next(set("a", "b", "c"), connected("a", "b"), Set.of(), Set.of("c"))).isEmpty();
  }

  @Test
  void a_host_that_returns_with_a_new_data_folder_replaces_its_former_voter() {
    List<Voter> connected = connected("a", "b");
    connected.add(voter("c2", "host-c"));

    VoterSet withLearner = next(set("a", "b", "c"), connected, Set.of(), Set.of()).orElseThrow();

    assertThat(withLearner.getLearnersList()).extracting(Voter::getIdentity).containsExactly("c2");
  }

  @Test
  void only_the_lowest_address_bootstraps_and_only_if_all_contacts_are_connected_and_empty() {
    HostRecord a = HostRecord.newBuilder().setPeerAddress("a").build();
    HostRecord b = HostRecord.newBuilder().setPeerAddress("b").build();
    HostRecord unconfigured = HostRecord.newBuilder().setPeerAddress("0").build();
    HostRecord formed = HostRecord.newBuilder().setPeerAddress("c").setFormed(true).build();
    List<String> twoContacts = List.of("b", "a");
    List<String> threeContacts = List.of("c", "b", "a");

    assertThat(GroupBootstrap.mayBootstrap(a, twoContacts, List.of(b))).isTrue();
    assertThat(GroupBootstrap.mayBootstrap(b, twoContacts, List.of(a))).isFalse();
    assertThat(GroupBootstrap.mayBootstrap(a, threeContacts, List.of(b))).isFalse();
    assertThat(GroupBootstrap.mayBootstrap(a, threeContacts, List.of(b, formed))).isFalse();
    // A host that is not among the configured contacts joins, whatever its address.
    assertThat(GroupBootstrap.mayBootstrap(unconfigured, twoContacts, List.of(a, b))).isFalse();
    assertThat(GroupBootstrap.mayBootstrap(a, twoContacts, List.of(b, unconfigured))).isTrue();
    assertThat(GroupBootstrap.mayBootstrap(a, List.of(), List.of(b))).isFalse();
  }
}
