package org.curranthaven.api;

/**
 * What an operator asks of a class of work.
 *
 * @param firstReplyMillis longest time to the first token, or to the whole answer of a plain call
 * @param gapMillis longest time between two tokens of a stream
 * @param answerMillis longest time to the whole answer; also the deadline handed to engines
 */
public record Targets(long firstReplyMillis, long gapMillis, long answerMillis) {
  public Targets {
    requirePositive("firstReplyMillis", firstReplyMillis);
    requirePositive("gapMillis", gapMillis);
    requirePositive("answerMillis", answerMillis);
    if (answerMillis < firstReplyMillis) {
      throw new IllegalArgumentException("answerMillis must be at least firstReplyMillis");
    }
  }

  private static void requirePositive(String name, long value) {
    if (value <= 0) {
      throw new IllegalArgumentException(name + " must be positive, but is " + value);
    }
  }
}
