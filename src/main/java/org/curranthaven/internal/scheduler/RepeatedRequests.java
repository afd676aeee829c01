package org.curranthaven.internal.scheduler;

import org.curranthaven.internal.supervision.LineLimit;
import org.tinylog.Logger;

/** Logs placement requests that came again, at most one in a second. Not thread-safe. */
final class RepeatedRequests {
  private static final long LOG_INTERVAL_MILLIS = 1_000;

  private final LineLimit limit = new LineLimit(1, LOG_INTERVAL_MILLIS);

  /** Records a request that is known already. */
  void record(String gateway, long id, String state, long nowMillis) {
    if (limit.mayWrite(nowMillis)) {
      Logger.info(
          "{} placement requests came again since the last such line; latest: {} of gateway {},"
              + " which {}",
          limit.takeOmitted() + 1,
          id,
          gateway,
          state);
    }
  }
}
