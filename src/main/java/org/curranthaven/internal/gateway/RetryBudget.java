package org.curranthaven.internal.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Bounds the load that retries add. Per service class, each first attempt adds a fraction of a
 * retry to the budget and each retry consumes one; the budget of a class starts full. Delays before
 * retries grow exponentially with full jitter. Not thread-safe.
 */
public final class RetryBudget {
  /** Fraction of a retry that each request adds to the budget. */
  static final double RETRIES_PER_REQUEST = 0.1;

  /** Largest number of retries that a class can accumulate. */
  static final double MAX_SAVED_RETRIES = 10;

  /** Doubled once for each failed attempt, this bounds the random delay before a retry. */
  private static final long BASE_BACKOFF_MILLIS = 10;

  private static final long MAX_BACKOFF_MILLIS = 1_000;

  private final Map<String, Double> retriesByClass = new HashMap<>();
  private final RandomGenerator random;

  /** Creates a budget that is full for every class. */
  public RetryBudget(RandomGenerator random) {
    this.random = random;
  }

  /** Records a first attempt. */
  public void requested(String className) {
    double available = retriesByClass.getOrDefault(className, MAX_SAVED_RETRIES);
    retriesByClass.put(className, Math.min(MAX_SAVED_RETRIES, available + RETRIES_PER_REQUEST));
  }

  /** Consumes a retry from the budget; returns whether one was available. */
  public boolean tryRetry(String className) {
    double available = retriesByClass.getOrDefault(className, MAX_SAVED_RETRIES);
    if (available < 1) {
      return false;
    }
    retriesByClass.put(className, available - 1);
    return true;
  }

  /** Returns the delay before the next attempt, after the given number of failed ones. */
  public long backoffMillis(int failedAttempts) {
    long maxDelayMillis =
        Math.min(MAX_BACKOFF_MILLIS, BASE_BACKOFF_MILLIS << Math.min(failedAttempts, 7));
    return random.nextLong(maxDelayMillis + 1);
  }
}
