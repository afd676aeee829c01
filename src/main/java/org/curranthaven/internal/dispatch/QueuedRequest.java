package org.curranthaven.internal.dispatch;

import java.util.Comparator;
import org.curranthaven.internal.transport.wire.PlacementRequest;

/**
 * A call that waits for room.
 *
 * @param sequenceNumber number by which calls of the same rank and due time are told apart
 * @param dueAtMillis when its first reply is due
 * @param expiresAtMillis when it is turned away
 */
record QueuedRequest(
    RequestId id,
    PlacementRequest request,
    long sequenceNumber,
    long dueAtMillis,
    long expiresAtMillis) {
  static final Comparator<QueuedRequest> BY_RANK =
      Comparator.comparingInt((QueuedRequest call) -> call.request().getPriority())
          .thenComparingLong(QueuedRequest::dueAtMillis)
          .thenComparingLong(QueuedRequest::sequenceNumber);
}
