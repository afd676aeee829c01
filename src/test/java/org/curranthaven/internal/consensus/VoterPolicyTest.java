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
      VoterSet current, List<Voter> connected, Set<String> caughtUp, Set<String> silent) {
    return policy.next(
        new VoterPolicy.GroupStatus(
            current,
            "a",
            connected,
            caughtUp::contains,
            id -> silent.contains(id) ? 0 : 100_000,
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
  void a_sound_group_is_left_alone() {
    assertThat(next(set("a", "b", "c"), connected("a", "b", "c", "d"), Set.of(), Set.of()))
        .isEmpty();
  }

  @Test
  void a_lost_voter_is_replaced_first_and_removed_after() {
    VoterSet start = set("a", "b", "c");
    VoterSet learner = next(start, connected("a", "b", "d"), Set.of(), Set.of("c")).orElseThrow();
    assertThat(learner.getLearnersList()).extracting(Voter::getIdentity).containsExactly("d");

    assertThat(next(learner, connected("a", "b", "d"), Set.of(), Set.of("c"))).isEmpty();
    VoterSet four = next(learner, connected("a", "b", "d"), Set.of("d"), Set.of("c")).orElseThrow();
    assertThat(VoterSets.voterIds(four)).containsExactlyInAnyOrder("a", "b", "c", "d");

    VoterSet three = next(four, connected("a", "b", "d"), Set.of("d"), Set.of("c")).orElseThrow();
    assertThat(VoterSets.voterIds(three)).containsExactlyInAnyOrder("a", "b", "d");
  }

  @Test
  void a_successor_that_has_just_started_replaces_a_host_that_went_three_seconds_ago() {
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
  void without_a_replacement_a_lost_voter_is_kept() {
    assertThat(next(set("a", "b", "c"), connected("a", "b"), Set.of(), Set.of("c"))).isEmpty();
  }

  @Test
  void a_host_that_is_back_with_an_empty_disk_replaces_its_former_self() {
    List<Voter> connected = connected("a", "b");
    connected.add(voter("c2", "host-c"));

    VoterSet learner = next(set("a", "b", "c"), connected, Set.of(), Set.of()).orElseThrow();

    assertThat(learner.getLearnersList()).extracting(Voter::getIdentity).containsExactly("c2");
  }

  @Test
  void only_the_lowest_of_empty_hosts_that_are_all_connected_founds_the_groups() {
    HostRecord a = HostRecord.newBuilder().setPeerAddress("a").build();
    HostRecord b = HostRecord.newBuilder().setPeerAddress("b").build();
    HostRecord z = HostRecord.newBuilder().setPeerAddress("0").build();
    HostRecord formed = HostRecord.newBuilder().setPeerAddress("c").setFormed(true).build();
    List<String> two = List.of("b", "a");
    List<String> three = List.of("c", "b", "a");

    assertThat(GroupBootstrap.mayBootstrap(a, two, List.of(b))).isTrue();
    assertThat(GroupBootstrap.mayBootstrap(b, two, List.of(a))).isFalse();
    assertThat(GroupBootstrap.mayBootstrap(a, three, List.of(b))).isFalse();
    assertThat(GroupBootstrap.mayBootstrap(a, three, List.of(b, formed))).isFalse();
    // A host that is not among the first contacts joins, whatever its address.
    assertThat(GroupBootstrap.mayBootstrap(z, two, List.of(a, b))).isFalse();
    assertThat(GroupBootstrap.mayBootstrap(a, two, List.of(b, z))).isTrue();
    assertThat(GroupBootstrap.mayBootstrap(a, List.of(), List.of(b))).isFalse();
  }
}
