package org.curranthaven.internal.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells whether a service lacks capacity for longer than a moment: a larger share of its recent
 * requests could not be placed in time. Not thread-safe.
 */
final class OverloadGauge {
  /** Share of recent requests not placed in time above which the service is overloaded. */
  private static final double OVERLOAD_SHARE = 0.15;

  /** Weight of the latest request in the moving average. */
  private static final double LATEST_REQUEST_WEIGHT = 0.05;

  private final Map<String, Double> missedShareByService = new HashMap<>();

  void recordPlacedInTime(String service) {
    record(service, 0);
  }

  /** Records a request that was placed late or rejected. */
  void recordMissed(String service) {
    record(service, 1);
  }

  private void record(String service, double missed) {
    double share = missedShareByService.getOrDefault(service, 0.0);
    missedShareByService.put(service, share + LATEST_REQUEST_WEIGHT * (missed - share));
  }

  boolean isOverloaded(String service) {
    return missedShareByService.getOrDefault(service, 0.0) > OVERLOAD_SHARE;
  }
}
