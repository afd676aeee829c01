package org.curranthaven.internal.consensus;

/** Replication progress of another replica, as tracked by the leader. */
final class FollowerProgress {
  long nextIndex;
  long matchIndex;

  /** Send time, on the leader's clock, of the latest message that the replica replied to. */
  long lastAcknowledgedSendMillis;

  /** Byte offset of the snapshot chunk to be acknowledged next; -1 if no snapshot is being sent. */
  long snapshotOffset = -1;

  /** Last log index of the snapshot being sent. */
  long snapshotIndex;

  FollowerProgress(long nextIndex) {
    this.nextIndex = nextIndex;
  }

  void acknowledged(long sentAtMillis) {
    lastAcknowledgedSendMillis = Math.max(lastAcknowledgedSendMillis, sentAtMillis);
  }
}
