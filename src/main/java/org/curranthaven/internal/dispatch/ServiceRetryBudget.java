package org.curranthaven.internal.dispatch;

/**
 * Bounds the retries of one service over all callers: in any window they stay below a share of the
 * calls plus a fixed number. Not thread-safe.
 */
final class ServiceRetryBudget {
  private static final int BUCKETS = 20;

  /** Part of the allowance that is used, since calls are counted where they are placed. */
  private static final double USABLE_SHARE = 0.8;

  private final RetryLimits limits;
  private final long bucketMillis;
  private final long[] bucketNumbers = new long[BUCKETS];
  private final int[] requests = new int[BUCKETS];
  private final int[] retries = new int[BUCKETS];

  ServiceRetryBudget(RetryLimits allowance) {
    this.limits = allowance;
    this.bucketMillis = Math.max(1, allowance.windowMillis() / BUCKETS);
  }

  void recordRequest(long nowMillis) {
    requests[currentBucket(nowMillis)]++;
  }

  boolean tryRetry(long nowMillis) {
    int current = currentBucket(nowMillis);
    int callSum = 0;
    int retrySum = 0;
    for (int i = 0; i < BUCKETS; i++) {
      if (bucketNumbers[current] - bucketNumbers[i] < BUCKETS) {
        callSum += requests[i];
        retrySum += retries[i];
      }
    }
    double allowed = USABLE_SHARE * (limits.ratio() * callSum + limits.fixedRetries());
    if (retrySum + 1 > allowed) {
      return false;
    }
    retries[current]++;
    return true;
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
