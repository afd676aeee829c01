package org.curranthaven.internal.dispatch;

import java.util.Comparator;
import org.curranthaven.internal.transport.wire.PlacementRequest;

/**
 * A request that waits for capacity.
 *
 * @param rankMillis time by which requests of equal priority are ordered
 * @param sequenceNumber arrival order, which ranks requests of equal priority and time
 * @param memoryTokens memory that it must find free
 * @param returned whether its client was rejected before and came back as told
 * @param dueAtMillis when its first reply is due
 * @param expiresAtMillis when it leaves the queue: placed late if capacity allows, else rejected
 */
record QueuedRequest(
    RequestId id,
    PlacementRequest request,
    long rankMillis,
    long sequenceNumber,
    double memoryTokens,
    boolean returned,
    long dueAtMillis,
    long expiresAtMillis) {
  static final Comparator<QueuedRequest> BY_RANK =
      Comparator.comparingInt((QueuedRequest queued) -> queued.request().getPriority())
          .thenComparingLong(QueuedRequest::rankMillis)
          .thenComparingLong(QueuedRequest::sequenceNumber);
}
