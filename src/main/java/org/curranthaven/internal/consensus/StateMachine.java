package org.curranthaven.internal.consensus;

import com.google.protobuf.ByteString;

/** Deterministic state machine that a group replicates. Confined to the consensus thread. */
public interface StateMachine {
  /**
   * Applies a committed command and returns its result. Applying the same commands in the same
   * order must produce the same state and results on every replica.
   */
  ByteString apply(long index, ByteString command);

  /** Returns a snapshot of the whole state. */
  ByteString snapshot();

  /** Replaces the whole state with a result of {@link #snapshot}, possibly from another replica. */
  void restore(ByteString state);
}
