package org.curranthaven.internal.consensus;

import com.google.protobuf.ByteString;
import org.curranthaven.internal.transport.wire.GroupMessage;
import org.curranthaven.internal.transport.wire.VoterSet;

/** What can happen to a {@link RaftCore}. */
public sealed interface RaftEvent {
  /** Time has passed. */
  record Tick() implements RaftEvent {}

  /** A batch of events ends; appends that became ready in it are sent now. */
  record BatchEnded() implements RaftEvent {}

  /** A message arrived from the replica with the given identity. */
  record Received(String fromIdentity, GroupMessage message) implements RaftEvent {}

  /** A host asks for a command to be replicated; {@code requestId} is above 0. */
  record Propose(long requestId, ByteString command) implements RaftEvent {}

  /** Asks for a new voter set, which may differ by one voter from the one in force. */
  record ProposeVoters(VoterSet voters) implements RaftEvent {}

  /** Asks the leader to hand over leadership to another voter. */
  record TransferLeadership() implements RaftEvent {}

  /** The state machine's state after {@code index} was written out as {@code state}. */
  record SnapshotTaken(long index, ByteString state) implements RaftEvent {}
}
