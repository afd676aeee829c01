package org.curranthaven.internal.dispatch;

import org.curranthaven.internal.transport.wire.PlacementRequest;

/**
 * Forecasts the output length of a route's requests from their hints and from earlier outputs. Not
 * thread-safe.
 */
final class OutputLengthForecast {
  /** Weight of the latest output in the moving average. */
  private static final double LATEST_OUTPUT_WEIGHT = 0.05;

  /** Share of a request's output limit that is forecast until the first output is recorded. */
  private static final double INITIAL_SHARE_OF_LIMIT = 0.4;

  /** Moving average of the output lengths; negative until the first output is recorded. */
  private double averageTokens = -1;

  void recordOutput(int tokens) {
    averageTokens =
        averageTokens < 0
            ? tokens
            : averageTokens + LATEST_OUTPUT_WEIGHT * (tokens - averageTokens);
  }

  int forecast(PlacementRequest request) {
    int limit = request.getMaxOutputTokens();
    double expected;
    if (request.getHintedOutputTokens() > 0) {
      expected = request.getHintedOutputTokens();
    } else if (averageTokens >= 0) {
      expected = averageTokens;
    } else {
      expected = limit * INITIAL_SHARE_OF_LIMIT;
    }
    return (int) (limit > 0 ? Math.min(limit, expected) : expected);
  }
}
