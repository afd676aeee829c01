package org.curranthaven.internal.dispatch;

/**
 * Bound on the retries of a service, over all callers.
 *
 * @param ratio retries allowed for each call
 * @param fixedRetries retries allowed besides, in each window
 * @param windowMillis length of the window
 */
public record RetryLimits(double ratio, double fixedRetries, long windowMillis) {
  /** Returns the part of the allowance for one of several hosts that decide alone. */
  public RetryLimits dividedAmong(int hosts) {
    return new RetryLimits(ratio, fixedRetries / Math.max(1, hosts), windowMillis);
  }
}
