package org.curranthaven.internal.dispatch;

/** Rate of recent arrivals, in which older ones count exponentially less. Not thread-safe. */
final class ArrivalRate {
  /** Short enough that a new leader knows 0.86 of the rate after 2 s. */
  private static final double TIME_CONSTANT_MILLIS = 1_000;

  private double recentArrivals;
  private long updatedAtMillis;

  void record(long nowMillis) {
    recentArrivals = recentArrivals(nowMillis) + 1;
    updatedAtMillis = nowMillis;
  }

  double perMilli(long nowMillis) {
    return recentArrivals(nowMillis) / TIME_CONSTANT_MILLIS;
  }

  /** Returns the time since the last arrival. */
  long ageMillis(long nowMillis) {
    return nowMillis - updatedAtMillis;
  }

  private double recentArrivals(long nowMillis) {
    return recentArrivals * StrictMath.exp(-ageMillis(nowMillis) / TIME_CONSTANT_MILLIS);
  }
}
