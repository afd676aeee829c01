package org.curranthaven.internal.scheduler;

import org.tinylog.Logger;

/**
 * Counts control requests that are malformed, and logs the first of each interval. Confined to the
 * event loop.
 */
final class RejectedRequestLog {
  private static final long INTERVAL_MILLIS = 1_000;

  private long loggedAtMillis = Long.MIN_VALUE / 2;
  private long rejected;

  /** Counts a request; logs why it was rejected unless another was logged in the interval. */
  void record(String reason, long nowMillis) {
    rejected++;
    if (nowMillis - loggedAtMillis >= INTERVAL_MILLIS) {
      loggedAtMillis = nowMillis;
      Logger.info("control request rejected ({} since the start): {}", rejected, reason);
    }
  }
}
