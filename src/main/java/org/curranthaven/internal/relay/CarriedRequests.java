package org.curranthaven.internal.relay;

import java.util.LinkedHashMap;
import java.util.Map;

/** The latest requests that a connection has carried. Not thread-safe. */
final class CarriedRequests {
  /** Bounds the memory of a connection; a copy of an older response is not expected any more. */
  static final int MAX_REMEMBERED = 256;

  private static final long NOT_ANSWERED = Long.MIN_VALUE;

  private final Map<String, Long> answeredAtMillis =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAX_REMEMBERED;
        }
      };

  /** Records that a request is sent. */
  void add(String requestId) {
    answeredAtMillis.remove(requestId);
    answeredAtMillis.put(requestId, NOT_ANSWERED);
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
