package org.curranthaven.internal.dispatch;

import java.util.random.RandomGenerator;

/**
 * Allows one request in each interval, at a random phase. Many hosts that share a rate unknown to
 * each other use it at different times then, also after a time without requests: an allowance that
 * is not used lapses, and the next one keeps the phase. Not thread-safe.
 */
final class SpacedRateLimiter implements PlacementLimiter {
  /**
   * Time for which an allowance may be used; a little longer than the interval at which a host in
   * local fallback tries to place queued requests.
   */
  private static final double USABLE_MILLIS = 120;

  private static final double MILLIS_PER_SECOND = 1_000;

  private double intervalMillis;
  private double nextAtMillis;

  SpacedRateLimiter(RandomGenerator random, double requestsPerSecond, long nowMillis) {
    this.intervalMillis = MILLIS_PER_SECOND / requestsPerSecond;
    this.nextAtMillis = nowMillis + random.nextDouble() * intervalMillis;
  }

  @Override
  public void setRate(double newRequestsPerSecond, long nowMillis) {
    double newIntervalMillis = MILLIS_PER_SECOND / newRequestsPerSecond;
    if (newIntervalMillis != intervalMillis) {
      skipLapsed(nowMillis);
      nextAtMillis = nowMillis + (nextAtMillis - nowMillis) * newIntervalMillis / intervalMillis;
      intervalMillis = newIntervalMillis;
    }
  }

  @Override
  public boolean allows(long nowMillis) {
    skipLapsed(nowMillis);
    return nowMillis >= nextAtMillis;
  }

  @Override
  public double tokens(long nowMillis) {
    skipLapsed(nowMillis);
    return Math.min(1, 1 - (nextAtMillis - nowMillis) / intervalMillis);
  }

  @Override
  public void recordPlacement(long nowMillis) {
    skipLapsed(nowMillis);
    nextAtMillis += intervalMillis;
  }

  private void skipLapsed(long nowMillis) {
    double lapsedMillis = nowMillis - nextAtMillis - Math.min(USABLE_MILLIS, intervalMillis);
    if (lapsedMillis > 0) {
      nextAtMillis += Math.ceil(lapsedMillis / intervalMillis) * intervalMillis;
    }
  }
}
