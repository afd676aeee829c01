package org.curranthaven.internal.consensus;

import com.google.protobuf.ByteString;
import org.curranthaven.internal.transport.wire.GroupMessage;
import org.curranthaven.internal.transport.wire.VoterSet;

/** Input of a {@link RaftCore}. */
public sealed interface RaftEvent {
  /** Periodic timer tick, which triggers elections, heartbeats and timeouts that are due. */
  record Tick() implements RaftEvent {}

  /** End of a batch of events; entries appended in the batch are now sent to the followers. */
  record BatchEnded() implements RaftEvent {}

  /** Message received from the replica with the given identity. */
  record Received(String fromIdentity, GroupMessage message) implements RaftEvent {}

  /** Proposes a command for replication; {@code requestId} is positive. */
  record Propose(long requestId, ByteString command) implements RaftEvent {}

  /** Proposes a new voter set, which may differ from the current one by at most one voter. */
  record ProposeVoters(VoterSet voters) implements RaftEvent {}

  /** Asks the leader to transfer leadership to another voter. */
  record TransferLeadership() implements RaftEvent {}

  /** Snapshot of the state machine taken after it applied the entry at {@code index}. */
  record SnapshotTaken(long index, ByteString state) implements RaftEvent {}
}
