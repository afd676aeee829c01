package org.curranthaven.internal.dispatch;

/** Keeps a rate of requests to one backend server. */
sealed interface PlacementLimiter permits RateLimiter, SpacedRateLimiter {
  void setRate(double newRequestsPerSecond, long nowMillis);

  /** Returns whether a request may be placed now. */
  boolean allows(long nowMillis);

  /** Returns the requests that may be placed now; less than 1 while one has to wait. */
  double tokens(long nowMillis);

  /** Counts a request that was placed; also one that could not wait. */
  void recordPlacement(long nowMillis);
}
