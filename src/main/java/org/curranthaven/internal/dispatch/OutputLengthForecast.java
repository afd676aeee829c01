package org.curranthaven.internal.dispatch;

import org.curranthaven.internal.transport.wire.PlacementRequest;

/** Forecasts the output of a route's calls from their hints and from earlier outputs. */
final class OutputLengthForecast {
  private static final double NEW_WEIGHT = 0.05;
  private static final double PRIOR_SHARE_OF_MOST = 0.4;

  private double meanTokens = -1;

  void finished(int tokens) {
    meanTokens = meanTokens < 0 ? tokens : meanTokens + NEW_WEIGHT * (tokens - meanTokens);
  }

  int forecast(PlacementRequest ask) {
    int most = ask.getMaxOutputTokens();
    double expected;
    if (ask.getHintedOutputTokens() > 0) {
      expected = ask.getHintedOutputTokens();
    } else if (meanTokens >= 0) {
      expected = meanTokens;
    } else {
      expected = most * PRIOR_SHARE_OF_MOST;
    }
    return (int) (most > 0 ? Math.min(most, expected) : expected);
  }
}
