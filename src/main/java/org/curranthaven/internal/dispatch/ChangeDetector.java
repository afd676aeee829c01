package org.curranthaven.internal.dispatch;

/**
 * Tells when observed times no longer agree with the expected ones, so that an average over many
 * samples, which is steady, can be replaced soon after a change. Not thread-safe.
 */
final class ChangeDetector {
  /** Weight of the latest sample; a doubled time is noticed after about ten samples. */
  private static final double LATEST_WEIGHT = 0.04;

  /** Weight of the latest sample in the variance of samples. */
  private static final double LATEST_VARIANCE_WEIGHT = 0.01;

  /** Variance assumed at the beginning: times that often differ by half. */
  private static final double START_VARIANCE = 0.3;

  /** Standard deviations of the average above which a difference is no chance. */
  private static final double SIGNIFICANT_DEVIATIONS = 5;

  /** Difference that counts as none, as a share of the expected time. */
  private static final double MIN_DIFFERENCE = 0.15;

  /** Largest ratio that counts; one outlier shows no change. */
  private static final double MAX_RATIO = 5;

  private double averageRatio = 1;
  private double variance = START_VARIANCE;

  /**
   * Records an observed time, and returns whether the expected times no longer hold.
   *
   * @param ratio observed time divided by the expected one
   */
  boolean record(double ratio) {
    double bounded = Math.min(MAX_RATIO, ratio);
    double deviation = bounded - averageRatio;
    averageRatio += LATEST_WEIGHT * deviation;
    double deviationFromExpected = bounded - 1;
    variance += LATEST_VARIANCE_WEIGHT * (deviationFromExpected * deviationFromExpected - variance);
    double averageDeviation = Math.sqrt(variance * LATEST_WEIGHT / (2 - LATEST_WEIGHT));
    double threshold = Math.max(MIN_DIFFERENCE, SIGNIFICANT_DEVIATIONS * averageDeviation);
    boolean changed = Math.abs(averageRatio - 1) > threshold;
    if (changed) {
      averageRatio = 1;
    }
    return changed;
  }
}
