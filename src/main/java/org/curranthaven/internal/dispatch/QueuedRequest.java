package org.curranthaven.internal.dispatch;

import java.util.Comparator;
import org.curranthaven.internal.transport.wire.PlacementRequest;

/**
 * A call that waits for room.
 *
 * @param order number by which calls of the same rank and due time are told apart
 * @param dueAtMillis when its first reply is due
 * @param giveUpAtMillis when it is turned away
 */
record QueuedRequest(
    RequestId key, PlacementRequest ask, long order, long dueAtMillis, long giveUpAtMillis) {
  static final Comparator<QueuedRequest> BY_RANK =
      Comparator.comparingInt((QueuedRequest call) -> call.ask().getPriority())
          .thenComparingLong(QueuedRequest::dueAtMillis)
          .thenComparingLong(QueuedRequest::order);
}
