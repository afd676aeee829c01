package org.curranthaven.internal.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Bounds the load that retries add: each first attempt earns a share of a retry, per class, and a
 * retry spends a whole one; a class starts with all it can save. Waiting times between attempts
 * have full jitter. Not thread-safe.
 */
public final class RetryBudget {
  /** Share of a retry that each request earns. */
  static final double RETRIES_PER_REQUEST = 0.1;

  /** Most retries that a class can have saved up. */
  static final double MAX_SAVED_RETRIES = 10;

  private static final long FIRST_BACKOFF_MILLIS = 10;
  private static final long MAX_BACKOFF_MILLIS = 1_000;

  private final Map<String, Double> retriesByClass = new HashMap<>();
  private final RandomGenerator random;

  /** Creates a budget that has saved nothing. */
  public RetryBudget(RandomGenerator random) {
    this.random = random;
  }

  /** Notes a first attempt. */
  public void requested(String className) {
    double saved = retriesByClass.getOrDefault(className, MAX_SAVED_RETRIES);
    retriesByClass.put(className, Math.min(MAX_SAVED_RETRIES, saved + RETRIES_PER_REQUEST));
  }

  /** Takes a retry from the budget; returns whether there was one. */
  public boolean tryRetry(String className) {
    double saved = retriesByClass.getOrDefault(className, MAX_SAVED_RETRIES);
    if (saved < 1) {
      return false;
    }
    retriesByClass.put(className, saved - 1);
    return true;
  }

  /** Returns how long to wait before the attempt after {@code failures} failed ones. */
  public long backoffMillis(int failures) {
    long ceiling = Math.min(MAX_BACKOFF_MILLIS, FIRST_BACKOFF_MILLIS << Math.min(failures, 7));
    return random.nextLong(ceiling + 1);
  }
}
