package org.curranthaven.internal.relay;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.curranthaven.internal.dispatch.StreamOrigins;
import org.curranthaven.internal.transport.wire.PlacementRequest;

/**
 * Requests that take up streams of unknown origin and wait in local fallback for the next
 * scheduler: only a leader can tell that no other software version has served. Not thread-safe.
 */
final class ResumptionsAwaitingScheduler {
  /**
   * Time after the loss of a scheduler within which the next one has been elected, also by hosts
   * that get too little processor time. A gateway without one for longer is cut off.
   */
  static final long MAX_WAIT_MILLIS = 5_000;

  /** Until when each request waits, by its id. */
  private final Map<Long, Long> untilMillis = new LinkedHashMap<>();

  private long lostAtMillis = Long.MIN_VALUE / 2;

  /** Starts anew at the loss of a scheduler. */
  void schedulerLost(long nowMillis) {
    untilMillis.clear();
    lostAtMillis = nowMillis;
  }

  /**
   * Adds the request if a scheduler may let it go on, and the local fallback would reject it;
   * returns whether it waits.
   */
  boolean add(PlacementRequest request, StreamOrigins origins, long nowMillis) {
    // Half of the time that is left: the request must still be placed, or be rejected in time.
    long waitUntilMillis =
        Math.min(lostAtMillis + MAX_WAIT_MILLIS, nowMillis + request.getTargetLeftMillis() / 2);
    if (!origins.mayBeKnownToLeader(request, nowMillis) || waitUntilMillis <= nowMillis) {
      return false;
    }
    untilMillis.put(request.getId(), waitUntilMillis);
    return true;
  }

  /** Removes and returns the ids of the requests that wait no longer. */
  List<Long> takeDue(long nowMillis) {
    List<Long> due =
        untilMillis.entrySet().stream()
            .filter(entry -> entry.getValue() <= nowMillis)
            .map(Map.Entry::getKey)
            .toList();
    due.forEach(untilMillis::remove);
    return due;
  }
}
