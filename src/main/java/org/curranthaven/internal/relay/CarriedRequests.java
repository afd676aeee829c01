package org.curranthaven.internal.relay;

import java.util.HashMap;
import java.util.Map;

/**
 * The requests that a connection has carried. It carries no request twice: a late copy of the first
 * response would be taken for the second. Not thread-safe.
 */
final class CarriedRequests {
  /** Bounds the memory of a connection, which ends after so many requests. */
  static final int MAX_REQUESTS = 256;

  private static final long NOT_ANSWERED = Long.MIN_VALUE;

  private final Map<String, Long> answeredAtMillis = new HashMap<>();

  /** Records that a request is sent. */
  void add(String requestId) {
    answeredAtMillis.put(requestId, NOT_ANSWERED);
  }

  /** Returns the number of requests. */
  int size() {
    return answeredAtMillis.size();
  }

  /** Returns whether no request more may be added. */
  boolean isFull() {
    return answeredAtMillis.size() >= MAX_REQUESTS;
  }

  /**
   * Returns whether the connection may carry the request.
   *
   * @param requestId empty for none; any late response could then be taken for its own
   */
  boolean mayAdd(String requestId) {
    return requestId.isEmpty()
        ? answeredAtMillis.isEmpty()
        : !isFull() && !answeredAtMillis.containsKey(requestId);
  }

  /** Records that the response to a request has ended. */
  void recordAnswer(String requestId, long nowMillis) {
    answeredAtMillis.replace(requestId, nowMillis);
  }

  /** Returns the time since the response to the request; negative if there was none. */
  long millisSinceAnswer(String requestId, long nowMillis) {
    long answered = answeredAtMillis.getOrDefault(requestId, NOT_ANSWERED);
    return answered == NOT_ANSWERED ? StrayResponse.UNKNOWN_AGE : nowMillis - answered;
  }
}
