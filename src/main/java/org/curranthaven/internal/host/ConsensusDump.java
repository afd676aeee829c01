package org.curranthaven.internal.host;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.curranthaven.internal.consensus.ConsensusLoop;
import org.curranthaven.internal.consensus.RaftCore;
import org.curranthaven.internal.consensus.VoterSets;
import org.curranthaven.internal.ledger.LedgerState;

/** Figures of the replicated groups for the state dump. */
final class ConsensusDump {
  private ConsensusDump() {}

  /** State of one group's replica on this host. */
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
