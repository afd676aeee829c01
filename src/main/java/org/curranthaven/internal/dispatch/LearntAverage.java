package org.curranthaven.internal.dispatch;

/**
 * Moving average of a positive quantity that may be many times larger or smaller than its start
 * value. The first samples weigh most; later ones are bounded to a multiple of the average, so that
 * one outlier changes little. Not thread-safe.
 */
final class LearntAverage {
  /** Number of samples that the start value counts as. */
  private static final int START_VALUE_SAMPLES = 2;

  /** Number of samples after which outliers are bounded. */
  private static final int SAMPLES_BEFORE_BOUND = 4;

  /** Largest factor between a sample and the average. */
  private static final double MAX_OUTLIER_FACTOR = 4;

  private final double latestWeight;
  private double average;
  private int samples;

  /**
   * Creates an average.
   *
   * @param latestWeight weight of the latest sample once there are many
   */
  LearntAverage(double startValue, double latestWeight) {
    this.average = startValue;
    this.latestWeight = latestWeight;
  }

  void record(double value) {
    double bounded =
        samples < SAMPLES_BEFORE_BOUND
            ? value
            : Math.clamp(value, average / MAX_OUTLIER_FACTOR, average * MAX_OUTLIER_FACTOR);
    samples++;
    double weight = Math.max(latestWeight, 1.0 / (samples + START_VALUE_SAMPLES));
    average += weight * (bounded - average);
  }

  double value() {
    return average;
  }
}
