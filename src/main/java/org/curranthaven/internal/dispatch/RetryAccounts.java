package org.curranthaven.internal.dispatch;

import java.util.List;

/**
 * What a host knows of requests and retries, and decides on retries by. Four fifths of the limit on
 * retries are shared: a scheduler that knows what all gateways sent hands them out. The last fifth
 * is the reserve of the gateways, each of which has its part whoever else it reaches. Not
 * thread-safe.
 */
public interface RetryAccounts {
  /** Share of the limit that a scheduler hands out, to whichever gateway asks. */
  double SHARED_PART = 0.8;

  /** Share of the limit that gateways use without a scheduler that knows of all retries. */
  double RESERVED_PART = 0.2;

  /** Counts a request at its first placement. */
  void recordRequest(RequestId requestId, String service, RetryLimits limits, long nowMillis);

  /**
   * Allows a retry if there is room for it; returns whether there is. It takes up the room until it
   * is placed, however long it waits, and for a window from then on.
   */
  boolean tryRetry(RequestId requestId, String service, RetryLimits limits, long nowMillis);

  /** Handles the placement of a request; counts it if it is a retry that was allowed. */
  void placed(RequestId requestId, RetryLimits limits, long nowMillis);

  /** Handles the end of a request, or its rejection; nothing is decided about it any more. */
  void requestEnded(RequestId requestId);

  /** Returns and clears the first retries of a window that were refused, to be logged. */
  List<RetryRefusal> drainRefusals();
}
