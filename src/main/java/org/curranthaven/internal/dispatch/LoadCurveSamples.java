package org.curranthaven.internal.dispatch;

import java.util.function.DoubleSupplier;

/**
 * Estimates the {@link LoadCurve} of a backend server from observed times. Later samples replace
 * earlier ones, and what is known moves towards a given curve as it ages. Not thread-safe.
 */
final class LoadCurveSamples {
  /** Time without samples after which those known lose weight faster than they are replaced. */
  private static final double IDLE_MILLIS = 1_000;

  /**
   * Largest weight of samples of an idle server. It bounds the time after which a server that was
   * slow is tried again with a few requests.
   */
  static final double MAX_IDLE_WEIGHT = 10;

  /** Samples that each end of the prior curve counts as. */
  private static final double PRIOR_WEIGHT = 1;

  /** Number of requests up to which they are distinguished. */
  private static final int MAX_REQUESTS = 64;

  /** Largest factor between a sample and the curve. */
  private static final double MAX_OUTLIER_FACTOR = 6;

  /** Weight of the samples from which on outliers are bounded. */
  private static final double BOUNDING_WEIGHT = 8;

  /**
   * Ratio between the reduction of squared errors by a knee and the variance of samples, above
   * which the knee counts as seen. Random differences exceed it in about one of 100 fits.
   */
  private static final double SIGNIFICANT_RATIO = 7;

  /**
   * Smallest standard deviation of samples that is reckoned with, as a share of their average; lets
   * differences that decide nothing count as none.
   */
  private static final double MIN_DEVIATION_SHARE = 0.05;

  /** Multiple of the squared standard error at which half of a difference counts as chance. */
  private static final double CHANCE_FACTOR = 4;

  /** Share of the slots by which the prior curve's far end exceeds them. */
  private static final double PRIOR_END_SHARE = 1.5;

  private final double latestWeight;
  private final DoubleSupplier retentionMillis;
  private final double[] weights = new double[MAX_REQUESTS + 1];
  private final double[] sums = new double[MAX_REQUESTS + 1];
  private double totalWeight;
  private double sumOfSquares;
  private long updatedAtMillis;

  /** When the latest sample was recorded; fits age the samples too, but are none. */
  private long sampledAtMillis;

  /**
   * Creates an estimate without samples.
   *
   * @param retainedSamples number of samples after which earlier ones have lost most weight
   * @param retentionMillis time without samples in which the weight of those known falls to a third
   */
  LoadCurveSamples(int retainedSamples, DoubleSupplier retentionMillis) {
    this.retentionMillis = retentionMillis;
    this.latestWeight = 1.0 / retainedSamples;
  }

  /**
   * Records the time that a unit of work took.
   *
   * @param requests number of requests on the server, including the observed one
   * @param known the curve as estimated so far, which bounds outliers
   */
  void record(int requests, double millis, LoadCurve known, long nowMillis) {
    age(nowMillis);
    decay(1 - latestWeight);
    int index = Math.clamp(requests, 1, MAX_REQUESTS);
    double expected = known.millisAt(index);
    double bounded =
        totalWeight < BOUNDING_WEIGHT
            ? millis
            : Math.clamp(millis, expected / MAX_OUTLIER_FACTOR, expected * MAX_OUTLIER_FACTOR);
    weights[index] += 1;
    sums[index] += bounded;
    totalWeight += 1;
    sumOfSquares += bounded * bounded;
    sampledAtMillis = nowMillis;
  }

  /** Returns the weight of the samples, in samples; those long ago count less. */
  double weight(long nowMillis) {
    return totalWeight * retained(nowMillis);
  }

  /** Lets the samples at numbers of requests in the range count as at most this many. */
  void limitWeight(int fromRequests, int toRequests, double maxWeight) {
    int last = Math.min(MAX_REQUESTS, toRequests);
    double weight = 0;
    for (int i = fromRequests; i <= last; i++) {
      weight += weights[i];
    }
    double removedShare = weight <= maxWeight ? 0 : 1 - maxWeight / weight;
    for (int i = fromRequests; i <= last; i++) {
      remove(i, removedShare);
    }
  }

  private void remove(int requests, double share) {
    if (weights[requests] > 0) {
      double mean = sums[requests] / weights[requests];
      double removed = share * weights[requests];
      // Takes the average spread of all samples for that of the removed ones.
      sumOfSquares = Math.max(0, sumOfSquares - removed * (mean * mean + variance()));
      weights[requests] -= removed;
      sums[requests] -= removed * mean;
      totalWeight -= removed;
    }
  }

  /** Makes the curve known as if it had been learnt from some samples. */
  void restore(LoadCurve curve, int slots, double samples, long nowMillis) {
    age(nowMillis);
    sampledAtMillis = nowMillis;
    decay(0);
    add(1, curve.millisAt(1), samples / 2);
    int far = farEnd(slots);
    add(Math.min(curve.kneeRequests(), far), curve.lightMillis(), samples / 4);
    add(far, curve.millisAt(far), samples / 4);
  }

  private void add(int requests, double millis, double samples) {
    int index = Math.clamp(requests, 1, MAX_REQUESTS);
    weights[index] += samples;
    sums[index] += samples * millis;
    totalWeight += samples;
    sumOfSquares += samples * millis * millis;
  }

  private static int farEnd(int slots) {
    return Math.clamp((long) Math.ceil(slots * PRIOR_END_SHARE), 2, MAX_REQUESTS);
  }

  private void age(long nowMillis) {
    decay(retained(nowMillis));
    updatedAtMillis = Math.max(updatedAtMillis, nowMillis);
  }

  private double retained(long nowMillis) {
    double idleMillis = Math.max(0, nowMillis - updatedAtMillis);
    double bounded =
        nowMillis - sampledAtMillis < IDLE_MILLIS || totalWeight <= MAX_IDLE_WEIGHT
            ? 1
            : MAX_IDLE_WEIGHT / totalWeight;
    return bounded * StrictMath.exp(-idleMillis / retentionMillis.getAsDouble());
  }

  private void decay(double factor) {
    for (int i = 1; i <= MAX_REQUESTS; i++) {
      weights[i] *= factor;
      sums[i] *= factor;
    }
    totalWeight *= factor;
    sumOfSquares *= factor;
  }

  /**
   * Returns the curve that fits the samples best.
   *
   * @param prior curve that holds as far as samples are missing
   */
  LoadCurve fit(LoadCurve prior, int slots, long nowMillis) {
    age(nowMillis);
    int far = farEnd(slots);
    double[] fitWeights = weights.clone();
    double[] fitSums = sums.clone();
    addPrior(fitWeights, fitSums, 1, prior);
    addPrior(fitWeights, fitSums, far, prior);
    Candidate best = candidate(fitWeights, fitSums, Math.clamp(slots, 1, far));
    double minDeviation = MIN_DEVIATION_SHARE * best.curve().lightMillis();
    double variance = Math.max(variance(), minDeviation * minDeviation);
    for (int knee = Math.min(slots, far) - 1; knee >= 1; knee--) {
      Candidate candidate = candidate(fitWeights, fitSums, knee);
      if (candidate.squaredErrors() < best.squaredErrors() - SIGNIFICANT_RATIO * variance) {
        best = candidate;
      }
    }
    return towardsPrior(best.curve(), prior, variance);
  }

  /**
   * Moves the time of lightly loaded servers towards that of the prior curve as far as the
   * difference may be chance; otherwise equal servers would get unequal shares.
   */
  private LoadCurve towardsPrior(LoadCurve fitted, LoadCurve prior, double variance) {
    double difference = fitted.lightMillis() - prior.lightMillis();
    double squared = difference * difference;
    double byChance = CHANCE_FACTOR * variance / (totalWeight + PRIOR_WEIGHT);
    double own = squared <= 0 ? 0 : squared / (squared + byChance);
    return new LoadCurve(
        prior.lightMillis() + own * difference, fitted.kneeRequests(), fitted.slowdown());
  }

  private static void addPrior(double[] weights, double[] sums, int requests, LoadCurve prior) {
    weights[requests] += PRIOR_WEIGHT;
    sums[requests] += PRIOR_WEIGHT * prior.millisAt(requests);
  }

  /** Returns the variance of samples at the same number of requests. */
  private double variance() {
    double between = 0;
    for (int i = 1; i <= MAX_REQUESTS; i++) {
      between += weights[i] <= 0 ? 0 : sums[i] * sums[i] / weights[i];
    }
    return totalWeight <= 0 ? 0 : Math.max(0, sumOfSquares - between) / totalWeight;
  }

  /** The best curve with a given knee, and its squared errors. */
  private record Candidate(LoadCurve curve, double squaredErrors) {}

  /** Fits a line to the samples, with the number of requests beyond the knee as the abscissa. */
  private static Candidate candidate(double[] weights, double[] sums, int knee) {
    double weight = 0;
    double sumX = 0;
    double sumY = 0;
    double sumXx = 0;
    double sumXy = 0;
    for (int i = 1; i <= MAX_REQUESTS; i++) {
      double x = Math.max(0, i - knee);
      weight += weights[i];
      sumX += weights[i] * x;
      sumY += sums[i];
      sumXx += weights[i] * x * x;
      sumXy += sums[i] * x;
    }
    double spread = weight * sumXx - sumX * sumX;
    double slope = spread <= 0 ? 0 : Math.max(0, (weight * sumXy - sumX * sumY) / spread);
    double light = (sumY - slope * sumX) / weight;
    if (light <= 0) {
      light = sumY / weight;
      slope = 0;
    }
    LoadCurve curve = new LoadCurve(light, knee, slope / light);
    return new Candidate(curve, squaredErrors(weights, sums, curve));
  }

  private static double squaredErrors(double[] weights, double[] sums, LoadCurve curve) {
    double errors = 0;
    for (int i = 1; i <= MAX_REQUESTS; i++) {
      if (weights[i] > 0) {
        double error = sums[i] / weights[i] - curve.millisAt(i);
        errors += weights[i] * error * error;
      }
    }
    return errors;
  }
}
