package org.curranthaven.internal.host;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.curranthaven.internal.consensus.ConsensusLoop;
import org.curranthaven.internal.consensus.RaftCore;
import org.curranthaven.internal.consensus.VoterSets;
import org.curranthaven.internal.ledger.LedgerState;

/** Collects the state of the consensus groups' replicas on this host for the state dump. */
final class ConsensusDump {
  private ConsensusDump() {}

  /**
   * State of one group's replica on this host.
   *
   * @param records number of ledger records; 0 for a group that holds no ledger
   * @param recordBytes total size of the ledger records, in bytes
   */
  record GroupView(
      String role,
      long term,
      String leaderHost,
      long commitIndex,
      long lastIndex,
      long snapshotIndex,
      int voters,
      int learners,
      int records,
      long recordBytes) {}

  static CompletableFuture<Map<Integer, GroupView>> of(ConsensusLoop consensus, int groups) {
    CompletableFuture<Map<Integer, GroupView>> future = new CompletableFuture<>();
    consensus.execute(
        () -> {
          Map<Integer, GroupView> views = new LinkedHashMap<>();
          for (int groupId = 0; groupId < groups; groupId++) {
            RaftCore core = consensus.core(groupId);
            if (core != null) {
              views.put(groupId, view(consensus, groupId, core));
            }
          }
          future.complete(views);
        });
    return future;
  }

  private static GroupView view(ConsensusLoop consensus, int groupId, RaftCore core) {
    LedgerState ledger =
        consensus.stateMachine(groupId) instanceof LedgerState state ? state : null;
    return new GroupView(
        core.role().name(),
        core.term(),
        consensus.leaderHost(groupId),
        core.commitIndex(),
        core.lastIndex(),
        core.snapshotIndex(),
        VoterSets.voterIds(core.voters()).size(),
        core.voters().getLearnersCount(),
        ledger == null ? 0 : ledger.size(),
        ledger == null ? 0 : ledger.recordBytes());
  }
}
