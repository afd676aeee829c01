package org.curranthaven.internal.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import org.curranthaven.internal.transport.wire.AppendRequest;
import org.curranthaven.internal.transport.wire.GroupMessage;
import org.curranthaven.internal.transport.wire.SnapshotFile;
import org.curranthaven.internal.transport.wire.VoteRequest;
import org.curranthaven.internal.transport.wire.Voter;
import org.curranthaven.internal.transport.wire.VoterSet;
import org.junit.jupiter.api.Test;

class RaftCoreTest {
  private final Map<String, RaftCore> cores = new LinkedHashMap<>();
  private final Map<String, List<String>> applied = new LinkedHashMap<>();
  private final Deque<RaftDecision.Send> messagesInFlight = new ArrayDeque<>();
  private final Deque<String> senderIds = new ArrayDeque<>();
  private long nowMillis = 1_000;

  private static Voter voter(String id) {
    return Voter.newBuilder().setIdentity(id).setHost("host-" + id).build();
  }

  private static StoredState bootstrapped(String... ids) {
    VoterSet.Builder voters = VoterSet.newBuilder();
    for (String id : ids) {
      voters.addVoters(voter(id));
    }
    return new StoredState(
        1,
        "",
        SnapshotFile.getDefaultInstance(),
        List.of(StoredState.bootstrapEntry(voters.build())));
  }

  private RaftCore add(String id, StoredState state) {
    RaftCore core =
        new RaftCore(
            0, id, RaftTiming.standard(), state, new SplittableRandom(id.hashCode()), nowMillis);
    cores.put(id, core);
    applied.put(id, new ArrayList<>());
    return core;
  }

  private void handle(String id, RaftEvent event) {
    RaftCore core = cores.get(id);
    if (core == null) {
      return;
    }
    List<RaftDecision> decisions = new ArrayList<>(core.handle(event, nowMillis));
    decisions.addAll(core.handle(new RaftEvent.BatchEnded(), nowMillis));
    for (RaftDecision decision : decisions) {
      if (decision instanceof RaftDecision.Send send) {
        messagesInFlight.add(send);
        senderIds.add(id);
      } else if (decision instanceof RaftDecision.Apply apply) {
        appliedBy(id).add(apply.entry().getData().toStringUtf8());
      }
    }
  }

  private RaftCore core(String id) {
    return Objects.requireNonNull(cores.get(id));
  }

  private List<String> appliedBy(String id) {
    return Objects.requireNonNull(applied.get(id));
  }

  private void runFor(long millis) {
    for (long end = nowMillis + millis; nowMillis < end; nowMillis += 10) {
      List.copyOf(cores.keySet()).forEach(id -> handle(id, new RaftEvent.Tick()));
      for (int i = messagesInFlight.size(); i > 0; i--) {
        RaftDecision.Send send = messagesInFlight.remove();
        handle(send.toIdentity(), new RaftEvent.Received(senderIds.remove(), send.message()));
      }
    }
  }

  private String leader() {
    return cores.entrySet().stream()
        .filter(entry -> entry.getValue().hasLease(nowMillis))
        .map(Map.Entry::getKey)
        .findFirst()
        .orElse("");
  }

  private void startThreeReplicas() {
    for (String id : List.of("a", "b", "c")) {
      add(id, bootstrapped("a", "b", "c"));
    }
    runFor(3_000);
    assertThat(leader()).isNotEmpty();
  }

  @Test
  void another_leader_is_elected_within_1500_ms_after_the_leader_is_lost() {
    startThreeReplicas();
    cores.remove(leader());

    runFor(1_500);

    assertThat(leader()).isNotEmpty();
  }

  @Test
  void a_host_that_reconnects_after_a_partition_causes_no_election() {
    startThreeReplicas();
    String leader = leader();
    String partitioned = leader.equals("c") ? "b" : "c";
    RaftCore core = core(partitioned);
    cores.remove(partitioned);
    runFor(1_000);
    long term = core(leader).term();
    for (long time = nowMillis; time < nowMillis + 5_000; time += 10) {
      core.handle(new RaftEvent.Tick(), time);
    }
    cores.put(partitioned, core);

    runFor(3_000);

    assertThat(leader()).isEqualTo(leader);
    assertThat(core(leader).term()).isEqualTo(term);
  }

  @Test
  void a_leader_without_a_quorum_loses_its_lease_and_then_steps_down() {
    startThreeReplicas();
    String leader = leader();
    RaftCore core = core(leader);
    cores.clear();
    cores.put(leader, core);

    runFor(RaftTiming.standard().leaseMillis() + 20);
    assertThat(core.hasLease(nowMillis)).isFalse();
    runFor(200);
    assertThat(core.role()).isNotEqualTo(RaftRole.LEADER);
  }

  @Test
  void a_voter_in_contact_with_its_leader_grants_no_vote() {
    RaftCore core = add("a", bootstrapped("a", "b", "c"));
    GroupMessage heartbeat =
        GroupMessage.newBuilder()
            .setTerm(2)
            .setAppendRequest(AppendRequest.newBuilder().setPreviousIndex(1).setPreviousTerm(1))
            .build();
    core.handle(new RaftEvent.Received("b", heartbeat), nowMillis);

    GroupMessage request =
        GroupMessage.newBuilder()
            .setTerm(9)
            .setVoteRequest(VoteRequest.newBuilder().setLastIndex(50).setLastTerm(9))
            .build();
    List<RaftDecision> decisions =
        core.handle(new RaftEvent.Received("c", request), nowMillis + 100);

    assertThat(decisions).isEmpty();
    assertThat(core.term()).isEqualTo(2);
  }

  @Test
  void a_learner_becomes_a_voter_only_after_it_has_caught_up() {
    startThreeReplicas();
    String leader = leader();
    VoterSet voters = core(leader).voters();
    handle(leader, new RaftEvent.ProposeVoters(VoterSets.withVoter(voters, voter("d"))));
    assertThat(VoterSets.isVoter(core(leader).voters(), "d")).isFalse();

    add("d", StoredState.empty());
    handle(leader, new RaftEvent.ProposeVoters(VoterSets.withLearner(voters, voter("d"))));
    runFor(500);
    handle(
        leader,
        new RaftEvent.ProposeVoters(VoterSets.withVoter(core(leader).voters(), voter("d"))));
    runFor(500);

    assertThat(VoterSets.isVoter(core(leader).voters(), "d")).isTrue();
    assertThat(applied.get("d")).isEqualTo(applied.get(leader));
  }

  @Test
  void a_snapshot_larger_than_one_chunk_is_sent_in_chunks() {
    startThreeReplicas();
    String leader = leader();
    handle(leader, new RaftEvent.Propose(1, ByteString.copyFromUtf8("x")));
    runFor(500);
    ByteString state = ByteString.copyFrom(new byte[3 * RaftCore.SNAPSHOT_CHUNK_BYTES + 17]);
    long index = core(leader).commitIndex();
    handle(leader, new RaftEvent.SnapshotTaken(index, state));
    RaftCore learner = add("d", StoredState.empty());
    VoterSet voters = core(leader).voters();
    handle(leader, new RaftEvent.ProposeVoters(VoterSets.withLearner(voters, voter("d"))));

    runFor(2_000);

    assertThat(learner.snapshotIndex()).isEqualTo(index);
    assertThat(learner.commitIndex()).isEqualTo(core(leader).commitIndex());
  }

  @Test
  void leadership_is_transferred_without_waiting_for_an_election_timeout() {
    startThreeReplicas();
    String before = leader();

    handle(before, new RaftEvent.TransferLeadership());
    runFor(200);

    assertThat(leader()).isNotEmpty().isNotEqualTo(before);
  }
}
