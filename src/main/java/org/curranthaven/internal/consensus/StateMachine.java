package org.curranthaven.internal.consensus;

import com.google.protobuf.ByteString;

/** Deterministic state that a group replicates. Called by one thread only. */
public interface StateMachine {
  /**
   * Applies a committed command and returns its result. The same commands in the same order give
   * the same state and results on every replica.
   */
  ByteString apply(long index, ByteString command);

  /** Returns the whole state. */
  ByteString snapshot();

  /** Replaces the whole state by one that {@link #snapshot} returned, possibly elsewhere. */
  void restore(ByteString state);
}
