package org.curranthaven.internal.routing;

import org.curranthaven.api.Targets;

/** Moving averages of the requests of one service class on one model. Not thread-safe. */
final class ClassStats {
  private static final long WINDOW_MILLIS = 1_000;

  /** Number of elapsed windows beyond which the remaining ones are skipped. */
  private static final int MAX_CATCH_UP_WINDOWS = 60;

  /** Weight of the newest window in the moving averages of rates. */
  private static final double NEWEST_WINDOW_WEIGHT = 0.3;

  /** Weight of the newest request in the moving averages over requests. */
  private static final double NEWEST_REQUEST_WEIGHT = 0.05;

  final LengthModel outputLengths = new LengthModel();
  private Targets targets;
  private long windowStartMillis;
  private int windowArrivals;
  private int windowDispatches;
  private double arrivalsPerSecond;
  private double dispatchesPerSecond;
  private double meanPromptTokens;
  private double missShare;

  ClassStats(Targets targets, long nowMillis) {
    this.targets = targets;
    this.windowStartMillis = nowMillis;
  }

  Targets targets() {
    return targets;
  }

  void recordArrival(RequestAttributes request) {
    targets = request.targets();
    windowArrivals++;
    meanPromptTokens =
        meanPromptTokens == 0
            ? request.promptTokens()
            : meanPromptTokens
                + NEWEST_REQUEST_WEIGHT * (request.promptTokens() - meanPromptTokens);
  }

  void recordDispatch(boolean late) {
    windowDispatches++;
    missShare += NEWEST_REQUEST_WEIGHT * ((late ? 1 : 0) - missShare);
  }

  /** Records a shed request, which counts as a missed first-reply target. */
  void recordShed() {
    missShare += NEWEST_REQUEST_WEIGHT * (1 - missShare);
  }

  /** Closes every window that has ended by {@code nowMillis} and updates the rates. */
  void advanceWindow(long nowMillis) {
    while (nowMillis - windowStartMillis >= WINDOW_MILLIS) {
      windowStartMillis += WINDOW_MILLIS;
      arrivalsPerSecond += NEWEST_WINDOW_WEIGHT * (windowArrivals - arrivalsPerSecond);
      dispatchesPerSecond += NEWEST_WINDOW_WEIGHT * (windowDispatches - dispatchesPerSecond);
      windowArrivals = 0;
      windowDispatches = 0;
      if (nowMillis - windowStartMillis > MAX_CATCH_UP_WINDOWS * WINDOW_MILLIS) {
        windowStartMillis = nowMillis;
      }
    }
  }

  /** Returns the share of recent requests that were dispatched late or shed. */
  double missShare() {
    return missShare;
  }

  double dispatchesPerSecond() {
    return dispatchesPerSecond;
  }

  double arrivalsPerSecond() {
    return arrivalsPerSecond;
  }

  /** Returns the memory that a request of average length uses at its end, in blocks. */
  double expectedFinalBlocks() {
    return MemoryForecast.blocksOf((int) (meanPromptTokens + outputLengths.meanRemainingTokens(0)));
  }
}
