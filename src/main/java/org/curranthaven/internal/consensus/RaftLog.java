package org.curranthaven.internal.consensus;

import java.util.ArrayList;
import java.util.List;
import org.curranthaven.internal.transport.wire.EntryKind;
import org.curranthaven.internal.transport.wire.LogEntry;
import org.curranthaven.internal.transport.wire.SnapshotFile;
import org.curranthaven.internal.transport.wire.VoterSet;

/** In-memory log: the latest snapshot and the entries after it. Not thread-safe. */
final class RaftLog {
  private SnapshotFile snapshot;
  private final List<LogEntry> entries = new ArrayList<>();
  private VoterSet voters;
  private long votersIndex;

  RaftLog(SnapshotFile snapshot, List<LogEntry> entries) {
    this.snapshot = snapshot;
    this.voters = snapshot.getVoters();
    this.votersIndex = snapshot.getLastIndex();
    append(entries);
  }

  SnapshotFile snapshot() {
    return snapshot;
  }

  long snapshotIndex() {
    return snapshot.getLastIndex();
  }

  long lastIndex() {
    return snapshot.getLastIndex() + entries.size();
  }

  long lastTerm() {
    return entries.isEmpty() ? snapshot.getLastTerm() : entries.getLast().getTerm();
  }

  /** Returns the latest voter set in the log, committed or not. */
  VoterSet voters() {
    return voters;
  }

  long votersIndex() {
    return votersIndex;
  }

  boolean contains(long index) {
    return index > snapshotIndex() && index <= lastIndex();
  }

  LogEntry entry(long index) {
    return entries.get(position(index));
  }

  /** Returns the term at {@code index}, or -1 if the log does not contain it. */
  long termAt(long index) {
    if (index == snapshotIndex()) {
      return snapshot.getLastTerm();
    }
    return contains(index) ? entry(index).getTerm() : -1;
  }

  /**
   * Returns entries starting at {@code index}, limited by count and total bytes. The first entry is
   * returned even if it exceeds {@code maxBytes}.
   */
  List<LogEntry> slice(long index, int maxEntries, int maxBytes) {
    List<LogEntry> result = new ArrayList<>();
    int bytes = 0;
    for (long i = index; i <= lastIndex() && result.size() < maxEntries; i++) {
      LogEntry entry = entry(i);
      bytes += entry.getSerializedSize();
      if (!result.isEmpty() && bytes > maxBytes) {
        break;
      }
      result.add(entry);
    }
    return result;
  }

  void append(List<LogEntry> added) {
    for (LogEntry entry : added) {
      if (entry.getIndex() != lastIndex() + 1) {
        throw new IllegalStateException(
            "entry "
                + entry.getIndex()
                + " cannot be appended: the last index of the log is "
                + lastIndex());
      }
      entries.add(entry);
      if (entry.getKind() == EntryKind.ENTRY_KIND_VOTERS) {
        voters = VoterSets.parse(entry.getData());
        votersIndex = entry.getIndex();
      }
    }
  }

  void truncateFrom(long index) {
    entries.subList(position(index), entries.size()).clear();
    if (votersIndex >= index) {
      recomputeVoters();
    }
  }

  /** Returns the voter set that applies at {@code index}, which the log must still contain. */
  VoterSet votersAt(long index) {
    for (long i = index; i > snapshotIndex(); i--) {
      if (entry(i).getKind() == EntryKind.ENTRY_KIND_VOTERS) {
        return VoterSets.parse(entry(i).getData());
      }
    }
    return snapshot.getVoters();
  }

  /** Discards the entries that the snapshot covers. */
  void compact(SnapshotFile newSnapshot) {
    entries.subList(0, position(newSnapshot.getLastIndex()) + 1).clear();
    snapshot = newSnapshot;
  }

  /** Replaces the whole log with a snapshot that is ahead of it. */
  void reset(SnapshotFile installed) {
    entries.clear();
    snapshot = installed;
    recomputeVoters();
  }

  private void recomputeVoters() {
    voters = votersAt(lastIndex());
    votersIndex = snapshotIndex();
    for (long i = lastIndex(); i > snapshotIndex(); i--) {
      if (entry(i).getKind() == EntryKind.ENTRY_KIND_VOTERS) {
        votersIndex = i;
        return;
      }
    }
  }

  private int position(long index) {
    return (int) (index - snapshotIndex() - 1);
  }
}
