package org.curranthaven.internal.consensus;

/** What a leader knows of one other replica. */
final class FollowerProgress {
  long nextIndex;
  long matchIndex;

  /** Latest sending time, on the leader's clock, of a message that the replica answered. */
  long lastAcknowledgedSendMillis;

  /** Offset of the snapshot piece awaited next; below 0 when no snapshot is being sent. */
  long snapshotOffset = -1;

  /** Index of the snapshot being sent. */
  long snapshotIndex;

  FollowerProgress(long nextIndex) {
    this.nextIndex = nextIndex;
  }

  void acknowledged(long sentAtMillis) {
    lastAcknowledgedSendMillis = Math.max(lastAcknowledgedSendMillis, sentAtMillis);
  }
}
