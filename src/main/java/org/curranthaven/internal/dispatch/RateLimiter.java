package org.curranthaven.internal.dispatch;

import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Token bucket for the requests that one backend server with a stated limit gets. Keeps the stated
 * rate itself, with a burst of about one request, so that delays between a placement and its
 * arrival cannot bunch requests far beyond it. Not thread-safe.
 */
final class RateLimiter implements PlacementLimiter {
  /**
   * Lowest rate at which requests are sent. A backend server that states 0 gets one request in five
   * seconds, since only a response tells that its limit has ended.
   */
  static final double MIN_REQUESTS_PER_SECOND = 0.2;

  /** Time for which unused tokens accumulate, beyond the first token. */
  private static final double BURST_SECONDS = 0.05;

  /**
   * Time after which an unused token of a host in local fallback lapses. Otherwise each of many
   * hosts would keep a token, and all could use theirs at once.
   */
  private static final long SPREAD_TOKEN_LIFETIME_MILLIS = 250;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final @Nullable RandomGenerator spread;
  private double requestsPerSecond;
  private double tokens;
  private long updatedAtMillis;

  /** Since when there has been a whole token. */
  private long wholeSinceMillis;

  /**
   * Creates a bucket without a whole token: what was placed before is on its way still.
   *
   * @param spread source of random token counts, so that hosts that share the rate unknown to each
   *     other use it at different times; null for the only host that uses it
   */
  RateLimiter(@Nullable RandomGenerator spread, long nowMillis) {
    this.spread = spread;
    this.tokens = randomTokens();
    this.updatedAtMillis = nowMillis;
  }

  private double randomTokens() {
    return spread == null ? 0 : spread.nextDouble();
  }

  @Override
  public void setRate(double newRequestsPerSecond, long nowMillis) {
    refill(nowMillis);
    requestsPerSecond = newRequestsPerSecond;
    tokens = Math.min(tokens, maxTokens());
  }

  /** Returns whether a request may be placed now. */
  @Override
  public boolean allows(long nowMillis) {
    return tokens(nowMillis) >= 1;
  }

  /** Returns the tokens left; negative if requests were placed that could not wait. */
  @Override
  public double tokens(long nowMillis) {
    refill(nowMillis);
    return tokens;
  }

  /** Counts a request that was placed; also one that could not wait for a token. */
  @Override
  public void recordPlacement(long nowMillis) {
    refill(nowMillis);
    tokens -= 1;
  }

  private double maxTokens() {
    return 1 + BURST_SECONDS * requestsPerSecond;
  }

  private void refill(long nowMillis) {
    long elapsedMillis = Math.max(0, nowMillis - updatedAtMillis);
    double refilled = tokens + elapsedMillis * requestsPerSecond / MILLIS_PER_SECOND;
    if (tokens < 1 && refilled >= 1) {
      double beyondWholeMillis = (refilled - 1) * MILLIS_PER_SECOND / requestsPerSecond;
      wholeSinceMillis = nowMillis - (long) beyondWholeMillis;
    }
    tokens = Math.min(maxTokens(), refilled);
    updatedAtMillis = Math.max(updatedAtMillis, nowMillis);
    boolean lapsed = tokens >= 1 && nowMillis - wholeSinceMillis > SPREAD_TOKEN_LIFETIME_MILLIS;
    if (spread != null && lapsed) {
      tokens = randomTokens();
    }
  }
}
