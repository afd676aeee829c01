package org.curranthaven.internal.emulator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The arrival of a request.
 *
 * @param outputTokens actual output length, which nobody knows ahead
 * @param hintedOutputTokens the caller's estimate: right at the median, often far off
 * @param worth worth if it is served in time
 * @param lateWorth worth if it is served late
 */
record Arrival(
    long atMillis,
    Deployment.RequestKind kind,
    String dataCentre,
    int promptTokens,
    int outputTokens,
    int hintedOutputTokens,
    double worth,
    double lateWorth) {
  /** Share of a generation's worth that does not depend on its size. */
  private static final double FIXED_WORTH_SHARE = 0.3;

  /** Limit on the worth of a generation, as a multiple of its kind's. */
  private static final double MAX_WORTH_FACTOR = 4;

  /** Weight of an output token in the size of a generation; a prompt token has 1. */
  private static final double OUTPUT_TOKEN_WEIGHT = 10;

  /** Standard deviation of the logarithm of a caller's estimate. */
  private static final double HINT_SPREAD = 0.5;

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Draws the arrivals of a day; the same seed gives the same arrivals. */
  static List<Arrival> draw(Deployment deployment, Deployment.Day day, long seed) {
    SplittableRandom root = new SplittableRandom(seed);
    List<Arrival> arrivals = new ArrayList<>();
    for (Deployment.RequestKind kind : deployment.kinds()) {
      drawKind(deployment, day, kind, root.split(), arrivals);
    }
    arrivals.sort(Comparator.comparingLong(Arrival::atMillis));
    return arrivals;
  }

  private static void drawKind(
      Deployment deployment,
      Deployment.Day day,
      Deployment.RequestKind kind,
      SplittableRandom random,
      List<Arrival> arrivals) {
    double peakFactor = peakFactor(day, kind);
    double peakPerSecond = kind.perSecond() * day.loadFactor() * peakFactor;
    double atMillis = 0;
    while (true) {
      atMillis += -StrictMath.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / peakPerSecond;
      if (atMillis >= day.seconds() * MILLIS_PER_SECOND) {
        return;
      }
      // Thinning: all draws are made at the peak rate, and some are dropped outside of bursts.
      Arrival arrival = draw(deployment, kind, (long) atMillis, random);
      if (random.nextDouble() * peakFactor < burstFactor(day, kind, (long) atMillis)) {
        arrivals.add(arrival);
      }
    }
  }

  private static double peakFactor(Deployment.Day day, Deployment.RequestKind kind) {
    double peak = 1;
    for (Fault fault : day.faults()) {
      if (fault instanceof Fault.Burst burst && appliesTo(burst, kind)) {
        peak = Math.max(peak, burst.factor());
      }
    }
    return peak;
  }

  private static double burstFactor(
      Deployment.Day day, Deployment.RequestKind kind, long atMillis) {
    double factor = 1;
    for (Fault fault : day.faults()) {
      if (fault instanceof Fault.Burst burst
          && appliesTo(burst, kind)
          && atMillis >= burst.fromMillis()
          && atMillis < burst.untilMillis()) {
        factor = Math.max(factor, burst.factor());
      }
    }
    return factor;
  }

  private static boolean appliesTo(Fault.Burst burst, Deployment.RequestKind kind) {
    return burst.requestKind().isEmpty() || burst.requestKind().equals(kind.name());
  }

  private static Arrival draw(
      Deployment deployment, Deployment.RequestKind kind, long atMillis, SplittableRandom random) {
    int promptTokens = (int) draw(kind.prompt(), random);
    int outputTokens = (int) draw(kind.output(), random);
    double hint = outputTokens * StrictMath.exp(HINT_SPREAD * random.nextGaussian());
    double sizeFactor =
        kind.engine()
            ? (promptTokens + OUTPUT_TOKEN_WEIGHT * outputTokens)
                / (kind.prompt().mean() + OUTPUT_TOKEN_WEIGHT * kind.output().mean())
            : 1;
    double worthFactor =
        Math.min(MAX_WORTH_FACTOR, FIXED_WORTH_SHARE + (1 - FIXED_WORTH_SHARE) * sizeFactor);
    int dataCentre = random.nextInt(deployment.dataCentres().size());
    return new Arrival(
        atMillis,
        kind,
        deployment.dataCentres().get(dataCentre),
        promptTokens,
        outputTokens,
        Math.max(1, (int) hint),
        kind.worth() * worthFactor,
        kind.lateWorth() * worthFactor);
  }

  /** Draws a size from a log-normal distribution with the given mean, up to its limit. */
  static double draw(Deployment.Size size, SplittableRandom random) {
    double logMean = StrictMath.log(size.mean()) - size.spread() * size.spread() / 2;
    double value = StrictMath.exp(logMean + size.spread() * random.nextGaussian());
    return Math.clamp(value, 1, size.max());
  }
}
