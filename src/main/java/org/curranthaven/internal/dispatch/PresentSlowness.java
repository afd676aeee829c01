package org.curranthaven.internal.dispatch;

/**
 * By what factor work takes longer than usual on the machine of a backend server, as the server
 * states it. Not thread-safe.
 */
final class PresentSlowness {
  /** Age at which a statement no longer counts; machines are busy for phases of this length. */
  static final long FRESH_MILLIS = 600;

  /** Time in which the memory of the slowest phase falls to a third. */
  private static final double PEAK_RETENTION_MILLIS = 20_000;

  private static final double USUAL_PERCENT = 100;

  /** Bounds of a factor that counts; a stated value outside of them is taken as the bound. */
  static final double MIN_FACTOR = 0.1;

  static final double MAX_FACTOR = 20;

  private double statedFactor = 1;

  /** Integral of the factor over time up to the last statement. */
  private double slowedMillisAtStatement;

  private long statedAtMillis;
  private double peakFactor = 1;

  /** Records a statement. */
  void state(int percent, long nowMillis) {
    slowedMillisAtStatement = elapsedSlowedMillis(nowMillis);
    double retainedPeakFactor = peakFactor(nowMillis);
    statedFactor = Math.clamp(percent / USUAL_PERCENT, MIN_FACTOR, MAX_FACTOR);
    peakFactor = Math.max(retainedPeakFactor, statedFactor);
    statedAtMillis = nowMillis;
  }

  /** Returns the factor; the last statement counts less the older it is. */
  double factor(long nowMillis) {
    return 1 + (statedFactor - 1) * freshMillisLeft(nowMillis) / FRESH_MILLIS;
  }

  /** Returns the factor of the slowest recent phase, at least 1: such a phase may come again. */
  double peakFactor(long nowMillis) {
    double retained = StrictMath.exp(-(nowMillis - statedAtMillis) / PEAK_RETENTION_MILLIS);
    return 1 + (peakFactor - 1) * retained;
  }

  /** Returns the time that work takes now which usually takes the given time. */
  double slowedMillis(double usualMillis, long nowMillis) {
    double factor = factor(nowMillis);
    double slowPhaseLeftMillis = freshMillisLeft(nowMillis);
    double doneInPhaseMillis = slowPhaseLeftMillis / factor;
    return usualMillis <= doneInPhaseMillis
        ? usualMillis * factor
        : slowPhaseLeftMillis + usualMillis - doneInPhaseMillis;
  }

  /**
   * Returns the integral of the factor over time up to now. The difference between two times,
   * divided by the time between them, is the average factor.
   */
  double elapsedSlowedMillis(long nowMillis) {
    double elapsedMillis = nowMillis - statedAtMillis;
    double freshMillis = Math.min(elapsedMillis, FRESH_MILLIS);
    double excessMillis =
        (statedFactor - 1) * (freshMillis - freshMillis * freshMillis / (2 * FRESH_MILLIS));
    return slowedMillisAtStatement + elapsedMillis + excessMillis;
  }

  private double freshMillisLeft(long nowMillis) {
    return Math.clamp(statedAtMillis + FRESH_MILLIS - nowMillis, 0L, FRESH_MILLIS);
  }
}
