package org.curranthaven.internal.relay;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds how often a gateway tells the scheduler how slow the machine of a backend server is: the
 * server states it with each response. Not thread-safe.
 */
final class StatedLoadReports {
  /** Shortest time between two reports about one backend server. */
  static final long INTERVAL_MILLIS = 200;

  private final Map<String, Long> reportedAtMillis = new HashMap<>();

  /** Returns whether to report what the backend server states now, and counts it as reported. */
  boolean isDue(String backend, long nowMillis) {
    Long lastMillis = reportedAtMillis.get(backend);
    if (lastMillis != null && nowMillis - lastMillis < INTERVAL_MILLIS) {
      return false;
    }
    if (lastMillis == null) {
      reportedAtMillis.values().removeIf(millis -> nowMillis - millis >= INTERVAL_MILLIS);
    }
    reportedAtMillis.put(backend, nowMillis);
    return true;
  }
}
