package org.curranthaven.internal.consensus;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.curranthaven.internal.transport.wire.LogEntry;

/**
 * Replica of one group on this host, with its Raft core, storage and state machine. Confined to the
 * consensus thread.
 */
final class Replica {
  final int groupId;
  final RaftCore core;
  final StateMachine stateMachine;
  private final GroupStorage storage;
  private final List<RaftDecision> pendingDecisions = new ArrayList<>();
  private long appliedIndex;
  private long bytesSinceSnapshot;
  private long snapshotBytes;

  /**
   * Minimum bytes of entries applied since the last snapshot before the next one is taken. If the
   * last snapshot is larger than this, its size is the threshold.
   */
  private static final long MIN_SNAPSHOT_LOG_BYTES = 1024 * 1024;

  Replica(int groupId, RaftCore core, StateMachine stateMachine, GroupStorage storage) {
    this.groupId = groupId;
    this.core = core;
    this.stateMachine = stateMachine;
    this.storage = storage;
    StoredState state = storage.loadedState();
    if (state.snapshot().getLastIndex() > 0) {
      stateMachine.restore(state.snapshot().getState());
      appliedIndex = state.snapshot().getLastIndex();
      snapshotBytes = state.snapshot().getState().size();
    }
    storage.releaseLoadedState();
  }

  long appliedIndex() {
    return appliedIndex;
  }

  boolean isFullyApplied() {
    return appliedIndex == core.lastIndex();
  }

  void handle(RaftEvent event, long nowMillis) {
    pendingDecisions.addAll(core.handle(event, nowMillis));
  }

  /**
   * Persists and syncs the decisions of the batch, then returns them for execution.
   *
   * @throws IOException if a decision could not be persisted; then none may be carried out
   */
  List<RaftDecision> persistAndDrain() throws IOException {
    boolean syncNeeded = false;
    for (RaftDecision decision : pendingDecisions) {
      if (decision instanceof RaftDecision.Persist persist) {
        storage.persist(persist);
        syncNeeded = true;
      }
    }
    if (syncNeeded) {
      storage.sync();
    }
    List<RaftDecision> durable = List.copyOf(pendingDecisions);
    pendingDecisions.clear();
    return durable;
  }

  com.google.protobuf.ByteString apply(LogEntry entry) {
    appliedIndex = entry.getIndex();
    bytesSinceSnapshot += entry.getSerializedSize();
    return switch (entry.getKind()) {
      case ENTRY_KIND_COMMAND -> stateMachine.apply(entry.getIndex(), entry.getData());
      default -> com.google.protobuf.ByteString.EMPTY;
    };
  }

  void restore(RaftDecision.RestoreState restore) {
    stateMachine.restore(restore.snapshot().getState());
    appliedIndex = restore.snapshot().getLastIndex();
    snapshotBytes = restore.snapshot().getState().size();
    bytesSinceSnapshot = 0;
  }

  void snapshotIfDue(long nowMillis) {
    if (bytesSinceSnapshot >= Math.max(MIN_SNAPSHOT_LOG_BYTES, snapshotBytes)) {
      com.google.protobuf.ByteString state = stateMachine.snapshot();
      snapshotBytes = state.size();
      bytesSinceSnapshot = 0;
      handle(new RaftEvent.SnapshotTaken(appliedIndex, state), nowMillis);
    }
  }

  void close() {
    try {
      storage.close();
    } catch (IOException e) {
      // The replica is no longer used, and data that was synced remains on disk.
    }
  }
}
