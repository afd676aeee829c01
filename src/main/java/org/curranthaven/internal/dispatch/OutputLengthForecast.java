package org.curranthaven.internal.dispatch;

import org.curranthaven.internal.transport.wire.PlacementRequest;

/** Forecasts the output of a route's calls from their hints and from earlier outputs. */
final class OutputLengthForecast {
  private static final double LATEST_OUTPUT_WEIGHT = 0.05;
  private static final double INITIAL_SHARE_OF_LIMIT = 0.4;

  private double meanTokens = -1;

  void recordOutput(int tokens) {
    meanTokens =
        meanTokens < 0 ? tokens : meanTokens + LATEST_OUTPUT_WEIGHT * (tokens - meanTokens);
  }

  int forecast(PlacementRequest ask) {
    int most = ask.getMaxOutputTokens();
    double expected;
    if (ask.getHintedOutputTokens() > 0) {
      expected = ask.getHintedOutputTokens();
    } else if (meanTokens >= 0) {
      expected = meanTokens;
    } else {
      expected = most * INITIAL_SHARE_OF_LIMIT;
    }
    return (int) (most > 0 ? Math.min(most, expected) : expected);
  }
}
