package org.curranthaven.internal.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** Keeps the first refused retry of each service in a window. Not thread-safe. */
final class RetryRefusals {
  private final Map<String, Long> reportedMillis = new HashMap<>();
  private List<RetryRefusal> refusals = new ArrayList<>();

  void record(String service, Supplier<RetryRefusal> refusal, RetryLimits limits, long nowMillis) {
    Long lastMillis = reportedMillis.get(service);
    if (lastMillis == null || nowMillis - lastMillis >= limits.windowMillis()) {
      reportedMillis.put(service, nowMillis);
      refusals.add(refusal.get());
    }
  }

  List<RetryRefusal> drain() {
    if (refusals.isEmpty()) {
      return List.of();
    }
    List<RetryRefusal> drained = refusals;
    refusals = new ArrayList<>();
    return drained;
  }
}
