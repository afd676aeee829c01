package org.curranthaven.internal.scheduler;

import org.tinylog.Logger;

/** Counts placement requests that came again, and logs some of them. Not thread-safe. */
final class RepeatedRequests {
  /** Shortest time between two log lines. */
  private static final long LOG_INTERVAL_MILLIS = 1_000;

  private long count;
  private long countWhenLogged;
  private long loggedAtMillis = Long.MIN_VALUE / 2;

  /** Counts a request that is known already. */
  void record(String gateway, long id, String state, long nowMillis) {
    count++;
    if (nowMillis - loggedAtMillis >= LOG_INTERVAL_MILLIS) {
      Logger.info(
          "{} placement requests came again since the last such line; latest: {} of gateway {},"
              + " which {}",
          count - countWhenLogged,
          id,
          gateway,
          state);
      loggedAtMillis = nowMillis;
      countWhenLogged = count;
    }
  }
}
