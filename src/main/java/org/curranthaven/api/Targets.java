package org.curranthaven.api;

/**
 * Latency targets of a service class.
 *
 * @param firstReplyMillis largest time to the first token, or to the complete response of a plain
 *     service, in milliseconds
 * @param gapMillis largest time between two tokens of a stream, in milliseconds
 * @param answerMillis largest time to the complete response, in milliseconds; also the deadline
 *     sent to engines
 */
public record Targets(long firstReplyMillis, long gapMillis, long answerMillis) {
  public Targets {
    requirePositive("firstReplyMillis", firstReplyMillis);
    requirePositive("gapMillis", gapMillis);
    requirePositive("answerMillis", answerMillis);
    if (answerMillis < firstReplyMillis) {
      throw new IllegalArgumentException(
          "answerMillis must be at least firstReplyMillis, but "
              + answerMillis
              + " is less than "
              + firstReplyMillis);
    }
  }

  private static void requirePositive(String name, long value) {
    if (value <= 0) {
      throw new IllegalArgumentException(name + " must be positive, but is " + value);
    }
  }
}
