package org.curranthaven.internal.consensus;

import java.util.List;
import org.curranthaven.internal.transport.wire.EntryKind;
import org.curranthaven.internal.transport.wire.LogEntry;
import org.curranthaven.internal.transport.wire.SnapshotFile;
import org.curranthaven.internal.transport.wire.VoterSet;

/**
 * What the data folder of a replica holds.
 *
 * @param term latest term
 * @param votedFor identity voted for in that term, empty when none
 * @param snapshot latest snapshot, the default instance when none was taken
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

  /** Returns the first entry of a new group, which names its first voters. */
  public static LogEntry bootstrapEntry(VoterSet voters) {
    return LogEntry.newBuilder()
        .setIndex(1)
        .setTerm(1)
        .setKind(EntryKind.ENTRY_KIND_VOTERS)
        .setData(voters.toByteString())
        .build();
  }
}
