package org.curranthaven.internal.consensus;

import java.util.List;
import org.curranthaven.internal.transport.wire.EntryKind;
import org.curranthaven.internal.transport.wire.LogEntry;
import org.curranthaven.internal.transport.wire.SnapshotFile;
import org.curranthaven.internal.transport.wire.VoterSet;

/**
 * Persistent state of a replica, as read from its data folder.
 *
 * @param term latest term
 * @param votedFor identity that this replica voted for in that term, empty if it has not voted
 * @param snapshot latest snapshot, the default instance if there is none
 * @param entries entries after the snapshot, in order
 */
public record StoredState(
    long term, String votedFor, SnapshotFile snapshot, List<LogEntry> entries) {
  public StoredState {
    entries = List.copyOf(entries);
  }

  /** Returns the state of an empty folder. */
  public static StoredState empty() {
    return new StoredState(0, "", SnapshotFile.getDefaultInstance(), List.of());
  }

  /** Returns the first log entry of a new group, which contains its initial voter set. */
  public static LogEntry bootstrapEntry(VoterSet voters) {
    return LogEntry.newBuilder()
        .setIndex(1)
        .setTerm(1)
        .setKind(EntryKind.ENTRY_KIND_VOTERS)
        .setData(voters.toByteString())
        .build();
  }
}
