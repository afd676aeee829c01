package org.curranthaven.internal.routing;

import org.curranthaven.api.Targets;

/** Running figures of one class on one model. Not thread-safe. */
final class ClassStats {
  private static final long WINDOW_MILLIS = 1_000;
  private static final double NEWEST_WINDOW_WEIGHT = 0.3;
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

  void recordShed() {
    missShare += NEWEST_REQUEST_WEIGHT * (1 - missShare);
  }

  void advanceWindow(long nowMillis) {
    while (nowMillis - windowStartMillis >= WINDOW_MILLIS) {
      windowStartMillis += WINDOW_MILLIS;
      arrivalsPerSecond += NEWEST_WINDOW_WEIGHT * (windowArrivals - arrivalsPerSecond);
      dispatchesPerSecond += NEWEST_WINDOW_WEIGHT * (windowDispatches - dispatchesPerSecond);
      windowArrivals = 0;
      windowDispatches = 0;
      if (nowMillis - windowStartMillis > 60 * WINDOW_MILLIS) {
        windowStartMillis = nowMillis;
      }
    }
  }

  /** Returns the share of recent first replies that missed the target. */
  double missShare() {
    return missShare;
  }

  double dispatchesPerSecond() {
    return dispatchesPerSecond;
  }

  double arrivalsPerSecond() {
    return arrivalsPerSecond;
  }

  /** Returns the memory that a typical request of the class takes by its end, in blocks. */
  double expectedFinalBlocks() {
    return MemoryForecast.blocksOf((int) (meanPromptTokens + outputLengths.meanRemainingTokens(0)));
  }
}
