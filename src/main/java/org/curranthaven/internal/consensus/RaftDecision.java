package org.curranthaven.internal.consensus;

import java.util.List;
import org.curranthaven.internal.transport.wire.GroupMessage;
import org.curranthaven.internal.transport.wire.LogEntry;
import org.curranthaven.internal.transport.wire.SnapshotFile;

/**
 * An action that a {@link RaftCore} requests from its caller. The caller persists and syncs every
 * {@link Persist} decision of a batch before it carries out any other decision of that batch; this
 * order makes it safe to send and apply the entries that the same batch appended.
 */
public sealed interface RaftDecision {
  /** A decision that changes the data folder. */
  sealed interface Persist extends RaftDecision {}

  /** Stores the term and vote; an empty {@code votedFor} means no vote in this term. */
  record SaveHardState(long term, String votedFor) implements Persist {}

  /** Appends entries after the last stored entry. */
  record AppendEntries(List<LogEntry> entries) implements Persist {}

  /** Removes the entry at {@code index} and all later ones. */
  record TruncateFrom(long index) implements Persist {}

  /**
   * Stores a snapshot. Entries up to its index may be discarded; if {@code replacesLog} is set, the
   * snapshot is ahead of the log and all entries are discarded.
   */
  record SaveSnapshot(SnapshotFile snapshot, boolean replacesLog) implements Persist {}

  /** Replaces the state of the state machine with the snapshot's state. */
  record RestoreState(SnapshotFile snapshot) implements RaftDecision {}

  /** Sends a message to the replica with the given identity. */
  record Send(String toIdentity, GroupMessage message) implements RaftDecision {}

  /** Applies a committed entry; {@code requestId} is 0 unless this replica proposed the entry. */
  record Apply(LogEntry entry, long requestId) implements RaftDecision {}

  /** Rejects a proposal because this replica is not the leader or is transferring leadership. */
  record RejectedProposal(long requestId) implements RaftDecision {}

  /**
   * Reports that the outcome of a proposal is unknown: the entry was appended, but this replica
   * lost leadership before the entry was committed.
   */
  record UnknownProposal(long requestId) implements RaftDecision {}

  /** Reports a change of role or leader; {@code leaderIdentity} is empty if no leader is known. */
  record RoleChanged(RaftRole role, long term, String leaderIdentity) implements RaftDecision {}
}
