package org.curranthaven.internal.standin;

import java.util.random.RandomGenerator;

/**
 * A kind of request that a load generator or an experiment sends.
 *
 * @param className name of the service class
 * @param target name of the model or of the plain service
 * @param plainService whether the target is a plain service
 * @param streamed whether the response is streamed token by token
 * @param promptTokens typical prompt length
 * @param medianOutputTokens median output length
 * @param lengthLogDeviation standard deviation of the logarithm of the output length
 * @param weight frequency relative to the other kinds
 */
public record RequestKind(
    String className,
    String target,
    boolean plainService,
    boolean streamed,
    int promptTokens,
    int medianOutputTokens,
    double lengthLogDeviation,
    double weight) {
  private static final int MAX_OUTPUT_TOKENS = 6_000;

  /** Draws an output length from a log-normal distribution. */
  public int drawOutputTokens(RandomGenerator random) {
    double length = medianOutputTokens * StrictMath.exp(lengthLogDeviation * random.nextGaussian());
    return Math.clamp(Math.round(length), 1, MAX_OUTPUT_TOKENS);
  }
}
