package org.curranthaven.internal.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Requests that were running through gateways whose connection was lost. They may go on until their
 * deadline, or until the gateway reports what it runs. Not thread-safe.
 */
final class LostGatewayRuns {
  /** Deadline of each run by its id, for each request. */
  private final Map<CrashSuspect.Request, Map<RequestId, Long>> deadlinesMillis = new HashMap<>();

  /** Adds a request that was running through a gateway that is lost now. */
  void add(RunningRequest running) {
    if (running.request.getFingerprint() != 0) {
      deadlinesMillis
          .computeIfAbsent(CrashSuspect.requestOf(running.request), request -> new HashMap<>())
          .put(running.id, running.placedAtMillis + running.request.getDeadlineLeftMillis());
    }
  }

  /** Removes the runs whose deadline has passed. */
  void removeExpired(long nowMillis) {
    deadlinesMillis.values().forEach(runs -> runs.values().removeIf(end -> end <= nowMillis));
    deadlinesMillis.values().removeIf(Map::isEmpty);
  }

  /** Removes the requests of a gateway that reports what it runs. */
  void removeGateway(String gateway) {
    deadlinesMillis
        .values()
        .forEach(runs -> runs.keySet().removeIf(id -> id.gateway().equals(gateway)));
    deadlinesMillis.values().removeIf(Map::isEmpty);
  }

  /** Returns whether the request may still be running through a lost gateway. */
  boolean mayRun(CrashSuspect.Request request, long nowMillis) {
    return deadlinesMillis.getOrDefault(request, Map.of()).values().stream()
        .anyMatch(deadlineMillis -> nowMillis < deadlineMillis);
  }
}
