package org.curranthaven.internal.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Requests that were running through gateways whose connection was lost. They may go on until their
 * deadline, or until the gateway reports what it runs. Not thread-safe.
 */
final class LostGatewayRuns {
  private final Map<RequestId, LostRun> runs = new HashMap<>();

  private record LostRun(CrashSuspect.Request request, long deadlineMillis) {}

  /** Adds a request that was running through a gateway that is lost now. */
  void add(RunningRequest running, long nowMillis) {
    runs.values().removeIf(run -> run.deadlineMillis() <= nowMillis);
    if (running.request.getFingerprint() != 0) {
      runs.put(
          running.id,
          new LostRun(
              CrashSuspect.requestOf(running.request),
              running.placedAtMillis + running.request.getDeadlineLeftMillis()));
    }
  }

  /** Removes the requests of a gateway that reports what it runs. */
  void removeGateway(String gateway) {
    runs.keySet().removeIf(id -> id.gateway().equals(gateway));
  }

  /** Returns whether the request may still be running through a lost gateway. */
  boolean mayRun(CrashSuspect.Request request, long nowMillis) {
    return runs.values().stream()
        .anyMatch(run -> run.request().equals(request) && nowMillis < run.deadlineMillis());
  }
}
