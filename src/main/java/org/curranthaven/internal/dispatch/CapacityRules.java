package org.curranthaven.internal.dispatch;

import org.curranthaven.internal.catalog.EngineCapabilities;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether a backend server has capacity for a request. An engine's memory fills only while
 * outputs grow, so the memory that running requests are forecast to need is counted before it is in
 * use; otherwise it would be assigned twice under load. A backend server that states a limit has
 * capacity only for as many requests a second. Not thread-safe.
 */
final class CapacityRules {
  /** Share of an engine's memory that may be reserved when placing requests. */
  static final double MEMORY_SHARE = 1.0;

  /**
   * Same share for a request that will be late, while other requests for the service are queued.
   */
  static final double LATE_MEMORY_SHARE = 0.8;

  /** Memory utilization up to which backup copies are placed, per engine and over the service. */
  static final double BACKUP_MEMORY_SHARE = 0.5;

  /** Time for which a backend server that rejected a request or a migration receives none. */
  static final long FULL_BACKOFF_MILLIS = 150;

  /** Requests per slot of a plain backend server; above 1, since a short queue keeps it busy. */
  private static final double PLAIN_REQUESTS_PER_SLOT = 1.5;

  /**
   * Requests for each one at the highest throughput of a plain backend server. Beyond these,
   * throughput hardly falls, while too low an estimate of them would leave the server idle in part.
   */
  private static final double PLAIN_REQUESTS_PER_USEFUL = 2;

  private final int capacityShares;
  private final RequestRateLimits rateLimits;
  private final CapacityView capacityView;

  /**
   * Creates the rules.
   *
   * @param capacityShares number of hosts that each place requests on the same backend servers in
   *     local fallback; each uses an equal share of their capacity
   * @param rateLimits limits on requests that backend servers have stated
   * @param capacityView what has been learnt of each backend server
   */
  CapacityRules(int capacityShares, RequestRateLimits rateLimits, CapacityView capacityView) {
    this.rateLimits = rateLimits;
    this.capacityView = capacityView;
    this.capacityShares = Math.max(1, capacityShares);
  }

  int capacityShares() {
    return capacityShares;
  }

  /**
   * Returns whether the backend server has capacity for the request.
   *
   * @param engine capabilities of the service's engines; null for a plain service
   * @param requestTokens memory to reserve for the request, in tokens
   * @param memoryShare share of the engine's memory that may be reserved in total
   */
  boolean hasCapacity(
      BackendState backend,
      @Nullable EngineCapabilities engine,
      double requestTokens,
      double memoryShare,
      long nowMillis) {
    return !backend.isFull(nowMillis)
        && rateLimits.allows(backend.id(), nowMillis)
        && hasRoom(backend, engine, requestTokens, memoryShare, nowMillis);
  }

  /** Returns whether the backend server accepts no request now because of its stated limit. */
  boolean isHeldByLimit(BackendState backend, long nowMillis) {
    return !backend.isFull(nowMillis) && !rateLimits.allows(backend.id(), nowMillis);
  }

  /** Returns whether the backend server has slots and memory for the request. */
  boolean hasRoom(
      BackendState backend,
      @Nullable EngineCapabilities engine,
      double requestTokens,
      double memoryShare,
      long nowMillis) {
    if (engine == null) {
      int usefulRequests = capacityView.usefulRequests(backend, nowMillis);
      double maxRequests =
          Math.min(
                  backend.slots() * PLAIN_REQUESTS_PER_SLOT,
                  usefulRequests * PLAIN_REQUESTS_PER_USEFUL + 1)
              / capacityShares;
      return backend.requests.size() < Math.max(1, maxRequests);
    }
    int slots = slots(engine);
    double usableMemoryTokens = memoryShare * engine.memoryTokens() / capacityShares;
    boolean fitsShare = backend.memoryTokens() + requestTokens <= usableMemoryTokens;
    // A request that needs more than the share can only run alone on an engine.
    boolean fitsIdleEngine = backend.isIdle() && requestTokens <= engine.memoryTokens();
    return backend.requests.size() < slots && (fitsShare || fitsIdleEngine);
  }

  private int slots(EngineCapabilities engine) {
    return Math.max(1, engine.slots() / capacityShares);
  }

  /** Returns the memory of the engine that is not reserved; 0 for a plain service. */
  double freeTokens(BackendState backend, @Nullable EngineCapabilities engine) {
    return engine == null ? 0 : Math.max(0, shareTokens(engine) - backend.memoryTokens());
  }

  private double shareTokens(EngineCapabilities engine) {
    return (double) engine.memoryTokens() / capacityShares;
  }

  /**
   * Returns how many requests of equal size the engine still has room for once the outputs of what
   * runs there are complete.
   *
   * @param requestTokens memory of one of them
   * @param takenTokens memory of a further request that is placed before them; 0 for none
   */
  int lastingPlaces(
      BackendState backend, EngineCapabilities engine, double requestTokens, double takenTokens) {
    int takenSlots = takenTokens > 0 ? 1 : 0;
    int freeSlots = slots(engine) - backend.requests.size() - takenSlots;
    double freeTokens = shareTokens(engine) - backend.finalMemoryTokens() - takenTokens;
    int byMemory = (int) Math.max(0, freeTokens / requestTokens);
    // As in hasRoom: an idle engine has room for a request that needs more than the share.
    int byIdleness = takenSlots == 0 && backend.isIdle() ? 1 : 0;
    return Math.max(0, Math.min(freeSlots, Math.max(byMemory, byIdleness)));
  }
}
