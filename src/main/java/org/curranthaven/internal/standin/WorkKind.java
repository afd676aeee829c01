package org.curranthaven.internal.standin;

import java.util.random.RandomGenerator;

/**
 * A kind of request in the load.
 *
 * @param className class of work
 * @param target model asked for, or plain service called
 * @param plain whether it is a call of a plain service
 * @param streamed whether its tokens are asked for one by one
 * @param promptTokens typical length of its prompt
 * @param medianTokens median length of its answer
 * @param spread standard deviation of the logarithm of the length
 * @param weight how often it comes, relative to the others
 */
public record WorkKind(
    String className,
    String target,
    boolean plain,
    boolean streamed,
    int promptTokens,
    int medianTokens,
    double spread,
    double weight) {
  private static final int MAX_TOKENS = 6_000;

  /** Draws the length of an answer. */
  public int drawTokens(RandomGenerator random) {
    double length = medianTokens * Math.exp(spread * random.nextGaussian());
    return Math.clamp(Math.round(length), 1, MAX_TOKENS);
  }
}
