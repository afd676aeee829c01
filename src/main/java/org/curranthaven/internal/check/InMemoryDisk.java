package org.curranthaven.internal.check;

import java.util.ArrayList;
import java.util.List;
import org.curranthaven.internal.consensus.RaftDecision;
import org.curranthaven.internal.consensus.StoredState;
import org.curranthaven.internal.transport.wire.LogEntry;
import org.curranthaven.internal.transport.wire.SnapshotFile;

/** An in-memory disk of a replica, on which every write is synced at once. */
final class InMemoryDisk {
  private long term;
  private String votedFor = "";
  private SnapshotFile snapshot = SnapshotFile.getDefaultInstance();
  private final List<LogEntry> entries = new ArrayList<>();

  void persist(RaftDecision.Persist decision) {
    switch (decision) {
      case RaftDecision.SaveHardState save -> {
        term = save.term();
        votedFor = save.votedFor();
      }
      case RaftDecision.AppendEntries append -> entries.addAll(append.entries());
      case RaftDecision.TruncateFrom truncate ->
          entries.removeIf(entry -> entry.getIndex() >= truncate.index());
      case RaftDecision.SaveSnapshot save -> {
        snapshot = save.snapshot();
        long index = snapshot.getLastIndex();
        entries.removeIf(entry -> save.replacesLog() || entry.getIndex() <= index);
      }
    }
  }

  /** Resets the term and the vote, as if they had never been saved. */
  void eraseVote() {
    term = 0;
    votedFor = "";
  }

  StoredState storedState() {
    return new StoredState(term, votedFor, snapshot, entries);
  }
}
