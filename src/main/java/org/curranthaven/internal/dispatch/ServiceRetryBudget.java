package org.curranthaven.internal.dispatch;

/**
 * Bounds the retries of one service over all callers: in any window they stay below a share of the
 * calls plus a fixed number. Not thread-safe.
 */
final class ServiceRetryBudget {
  private static final int BUCKETS = 20;

  /** Part of the allowance that is used, since calls are counted where they are placed. */
  private static final double USED_SHARE = 0.8;

  private final RetryLimits allowance;
  private final long bucketMillis;
  private final long[] bucketNumber = new long[BUCKETS];
  private final int[] calls = new int[BUCKETS];
  private final int[] retries = new int[BUCKETS];

  ServiceRetryBudget(RetryLimits allowance) {
    this.allowance = allowance;
    this.bucketMillis = Math.max(1, allowance.windowMillis() / BUCKETS);
  }

  void called(long nowMillis) {
    calls[bucket(nowMillis)]++;
  }

  boolean tryRetry(long nowMillis) {
    int current = bucket(nowMillis);
    int callSum = 0;
    int retrySum = 0;
    for (int i = 0; i < BUCKETS; i++) {
      if (bucketNumber[current] - bucketNumber[i] < BUCKETS) {
        callSum += calls[i];
        retrySum += retries[i];
      }
    }
    double allowed = USED_SHARE * (allowance.ratio() * callSum + allowance.slack());
    if (retrySum + 1 > allowed) {
      return false;
    }
    retries[current]++;
    return true;
  }

  private int bucket(long nowMillis) {
    long number = nowMillis / bucketMillis;
    int index = (int) Math.floorMod(number, (long) BUCKETS);
    if (bucketNumber[index] != number) {
      bucketNumber[index] = number;
      calls[index] = 0;
      retries[index] = 0;
    }
    return index;
  }
}
