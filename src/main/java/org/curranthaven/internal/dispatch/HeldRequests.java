package org.curranthaven.internal.dispatch;

import org.curranthaven.internal.catalog.EngineCapabilities;
import org.curranthaven.internal.transport.wire.PlacementRequest;

/** Tells which queued requests wait for something that keeps no request behind them waiting. */
final class HeldRequests {
  private final Backends backends;
  private final VersionBinding versions;
  private final BackendCrashes backendCrashes;
  private final CapacityRules capacityRules;
  private final QueueTimeForecast forecast;

  HeldRequests(
      Backends backends,
      VersionBinding versions,
      BackendCrashes backendCrashes,
      CapacityRules capacityRules,
      QueueTimeForecast forecast) {
    this.backends = backends;
    this.versions = versions;
    this.backendCrashes = backendCrashes;
    this.capacityRules = capacityRules;
    this.forecast = forecast;
  }

  /** Returns whether the requests behind the queued request need not wait for it. */
  boolean waitsApart(QueuedRequest queued, long nowMillis) {
    return versions.waitsApart(queued.request())
        || RegionBinding.waitsApart(backends, queued.request())
        || backendCrashes.isHeld(queued.id(), queued.request(), nowMillis)
        || isHeldByRest(queued, nowMillis)
        || isRetryHeldByLimit(queued, nowMillis);
  }

  /** Returns whether all backend servers rest for the request's gateway, but not for others. */
  private boolean isHeldByRest(QueuedRequest queued, long nowMillis) {
    return backends.restLeftMillis(queued.id(), queued.request(), nowMillis).isPresent()
        && !backends.hasUsableFor(queued.id(), queued.request(), nowMillis);
  }

  /**
   * Returns whether the backend servers that are left to a retry have capacity but for their stated
   * limits. Others may then be placed before it, on backend servers that it must not use.
   */
  private boolean isRetryHeldByLimit(QueuedRequest queued, long nowMillis) {
    PlacementRequest request = queued.request();
    if (request.getExcludedCount() == 0) {
      return false;
    }
    EngineCapabilities engine = backends.engineOf(request.getService());
    double requestTokens = forecast.neededMemoryTokens(request);
    return backends
        .usableFor(queued.id(), request, nowMillis)
        .anyMatch(
            backend ->
                capacityRules.isHeldByLimit(backend, nowMillis)
                    && capacityRules.hasRoom(
                        backend, engine, requestTokens, CapacityRules.MEMORY_SHARE, nowMillis));
  }
}
