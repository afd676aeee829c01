package org.curranthaven.internal.dispatch;

import org.jspecify.annotations.Nullable;

/**
 * Bounds the retries of one service over all callers: within any window, retries stay below a share
 * of the requests plus a fixed number. Not thread-safe.
 */
final class ServiceRetryBudget {
  /** Number of buckets that the sliding window is divided into. */
  private static final int BUCKETS = 20;

  /**
   * Share of the limit that is used; below 1, since requests are counted where their placement is
   * decided, including those that are then rejected.
   */
  private static final double USABLE_SHARE = 0.8;

  private final String service;
  private final RetryLimits limits;
  private final long bucketMillis;
  private final long[] bucketNumbers = new long[BUCKETS];
  private final int[] requests = new int[BUCKETS];
  private final int[] retries = new int[BUCKETS];
  private long refusalReportedMillis = Long.MIN_VALUE / 2;
  private @Nullable RetryRefusal refusal;

  ServiceRetryBudget(String service, RetryLimits limits) {
    this.service = service;
    this.limits = limits;
    this.bucketMillis = Math.max(1, limits.windowMillis() / BUCKETS);
  }

  void recordRequest(long nowMillis) {
    requests[currentBucket(nowMillis)]++;
  }

  /** Records a retry if the budget allows it; returns whether it does. */
  boolean tryRetry(long nowMillis) {
    int current = currentBucket(nowMillis);
    int requestSum = 0;
    int retrySum = 0;
    for (int i = 0; i < BUCKETS; i++) {
      if (bucketNumbers[current] - bucketNumbers[i] < BUCKETS) {
        requestSum += requests[i];
        retrySum += retries[i];
      }
    }
    double maxRetries = USABLE_SHARE * (limits.ratio() * requestSum + limits.fixedRetries());
    if (retrySum + 1 > maxRetries) {
      recordRefusal(requestSum, retrySum, maxRetries, nowMillis);
      return false;
    }
    retries[current]++;
    return true;
  }

  private void recordRefusal(int requestSum, int retrySum, double maxRetries, long nowMillis) {
    if (nowMillis - refusalReportedMillis >= limits.windowMillis()) {
      refusalReportedMillis = nowMillis;
      refusal = new RetryRefusal(service, requestSum, retrySum, maxRetries, "own count");
    }
  }

  /** Returns and clears the first refusal of a window, to be logged; null if there was none. */
  @Nullable RetryRefusal takeRefusal() {
    RetryRefusal taken = refusal;
    refusal = null;
    return taken;
  }

  private int currentBucket(long nowMillis) {
    long number = nowMillis / bucketMillis;
    int index = (int) Math.floorMod(number, (long) BUCKETS);
    if (bucketNumbers[index] != number) {
      bucketNumbers[index] = number;
      requests[index] = 0;
      retries[index] = 0;
    }
    return index;
  }
}
