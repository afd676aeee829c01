package org.curranthaven.internal.dispatch;

import org.curranthaven.internal.catalog.EngineCapabilities;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.jspecify.annotations.Nullable;

/**
 * Tells whether a backend server has room for a call: answers the load under which memory that
 * outputs have yet to fill is promised twice. Stateless.
 */
final class CapacityRules {
  /** Share of an engine's memory that forecasts may fill for the most urgent calls. */
  static final double MOST_URGENT_MEMORY_SHARE = 0.95;

  /** The same share for less urgent calls, so that an urgent one finds room. */
  private static final double LESS_URGENT_MEMORY_SHARE = 0.88;

  /** The same share for calls that will be late while others wait that can be in time. */
  static final double LATE_MEMORY_SHARE = 0.8;

  /** Share of memory that copies may fill, of one engine and of all of a service together. */
  static final double BACKUP_MEMORY_SHARE = 0.5;

  /** Calls a plain backend server is given for each slot: a short queue keeps it busy. */
  private static final double PLAIN_REQUESTS_PER_SLOT = 1.5;

  private final int capacityShares;

  /**
   * Creates the rules.
   *
   * @param capacityShares number of hosts that decide alone on the same backend servers
   */
  CapacityRules(int capacityShares) {
    this.capacityShares = Math.max(1, capacityShares);
  }

  int capacityShares() {
    return capacityShares;
  }

  /** Returns the share of an engine's memory that a call of the priority may fill it to. */
  static double memoryShare(PlacementRequest ask, int mostUrgentPriority) {
    return ask.getPriority() <= mostUrgentPriority
        ? MOST_URGENT_MEMORY_SHARE
        : LESS_URGENT_MEMORY_SHARE;
  }

  /**
   * Tells whether a call may be placed.
   *
   * @param engine what is known of the service's engines; null if it has none
   * @param tokens memory that the call is counted with
   * @param memoryShare share of an engine's memory that it may fill
   */
  boolean hasCapacity(
      BackendState backend,
      @Nullable EngineCapabilities engine,
      double tokens,
      double memoryShare,
      long nowMillis) {
    if (backend.isFull(nowMillis)) {
      return false;
    }
    if (engine == null) {
      double most = backend.slots() * PLAIN_REQUESTS_PER_SLOT / capacityShares;
      return backend.requests.size() < Math.max(1, most);
    }
    int slots = Math.max(1, engine.slots() / capacityShares);
    double memory = memoryShare * engine.memoryTokens() / capacityShares;
    boolean fits = backend.memoryTokens() + tokens <= memory;
    boolean alone = backend.isIdle() && tokens <= engine.memoryTokens();
    return backend.requests.size() < slots && (fits || alone);
  }
}
