package org.curranthaven.internal.consensus;

import java.util.List;
import org.curranthaven.internal.transport.wire.GroupMessage;
import org.curranthaven.internal.transport.wire.LogEntry;
import org.curranthaven.internal.transport.wire.SnapshotFile;

/**
 * What a {@link RaftCore} decides. The caller carries out and syncs every {@link Persist} decision
 * of a batch before any other decision of that batch; this order makes it safe to send and to apply
 * what the same batch appended.
 */
public sealed interface RaftDecision {
  /** A decision that changes the data folder. */
  sealed interface Persist extends RaftDecision {}

  /** Stores term and vote; an empty {@code votedFor} means no vote in this term. */
  record SaveHardState(long term, String votedFor) implements Persist {}

  /** Appends entries after the last stored one. */
  record AppendEntries(List<LogEntry> entries) implements Persist {}

  /** Removes every entry from {@code index} on. */
  record TruncateFrom(long index) implements Persist {}

  /** Stores a snapshot; entries up to its index may be dropped, all of them when it is ahead. */
  record SaveSnapshot(SnapshotFile snapshot, boolean replacesLog) implements Persist {}

  /** Replaces the state machine's state by the snapshot's. */
  record RestoreState(SnapshotFile snapshot) implements RaftDecision {}

  /** Sends a message to the replica with the given identity. */
  record Send(String toIdentity, GroupMessage message) implements RaftDecision {}

  /** Applies a committed entry; {@code requestId} is 0 unless it was proposed here. */
  record Apply(LogEntry entry, long requestId) implements RaftDecision {}

  /** A proposal was not taken: this replica is not the leader. */
  record RejectedProposal(long requestId) implements RaftDecision {}

  /** A proposal was appended here, but this replica no longer leads: its fate is open. */
  record UnknownProposal(long requestId) implements RaftDecision {}

  /** The role, the term or the known leader changed. An empty leader means none is known. */
  record RoleChanged(RaftRole role, long term, String leaderIdentity) implements RaftDecision {}
}
