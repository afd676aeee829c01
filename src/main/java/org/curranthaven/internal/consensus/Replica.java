package org.curranthaven.internal.consensus;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.curranthaven.internal.transport.wire.LogEntry;

/** One group's replica on this host: its core, files and state machine. */
final class Replica {
  final int groupId;
  final RaftCore core;
  final StateMachine stateMachine;
  private final GroupStorage storage;
  private final List<RaftDecision> pendingDecisions = new ArrayList<>();
  private long appliedIndex;
  private long bytesSinceSnapshot;
  private long snapshotBytes;

  /** A snapshot is taken once this many bytes, and as many as the last one has, were applied. */
  private static final long MIN_SNAPSHOT_LOG_BYTES = 1024 * 1024;

  Replica(int groupId, RaftCore core, StateMachine machine, GroupStorage storage) {
    this.groupId = groupId;
    this.core = core;
    this.stateMachine = machine;
    this.storage = storage;
    StoredState loaded = storage.loadedState();
    if (loaded.snapshot().getLastIndex() > 0) {
      machine.restore(loaded.snapshot().getState());
      appliedIndex = loaded.snapshot().getLastIndex();
      snapshotBytes = loaded.snapshot().getState().size();
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
   * Stores and syncs what the batch decided; returns the decisions that may be carried out now.
   *
   * @throws IOException if anything could not be stored; none of the decisions may be carried out
   */
  List<RaftDecision> persistAndDrain() throws IOException {
    boolean stored = false;
    for (RaftDecision decision : pendingDecisions) {
      if (decision instanceof RaftDecision.Persist persist) {
        storage.persist(persist);
        stored = true;
      }
    }
    if (stored) {
      storage.sync();
    }
    List<RaftDecision> released = List.copyOf(pendingDecisions);
    pendingDecisions.clear();
    return released;
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
      // The replica is given up; whatever was synced is still on the disk.
    }
  }
}
