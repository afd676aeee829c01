package org.curranthaven.internal.dispatch;

import org.curranthaven.internal.catalog.EngineCapabilities;
import org.curranthaven.internal.catalog.ServiceVersion;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the engine to which the state of a running request is transferred, for a migration or a
 * backup copy. Stateless.
 */
final class TransferTargets {
  /**
   * Cost of another data centre; 1 is a full memory. A transfer there takes twice as long, and the
   * time of a notice is what migrations lack.
   */
  private static final double OTHER_DATA_CENTRE_COST = 2.5;

  /** Cost of each migration that already uses the target's network link; 1 is a full memory. */
  private static final double BUSY_LINK_COST = 0.7;

  /** Cost of an engine on which the longest pause is twice the target; 1 is a full memory. */
  private static final double PAUSE_COST = 2;

  private final Backends backends;
  private final CapacityRules capacityRules;
  private final CapacityView capacityView;

  TransferTargets(Backends backends, CapacityRules capacityRules, CapacityView capacityView) {
    this.backends = backends;
    this.capacityView = capacityView;
    this.capacityRules = capacityRules;
  }

  /**
   * Returns the engine with capacity and the software version of the source that has the lowest
   * cost; null if there is none. Another version cannot continue the request.
   *
   * @param memoryShare share of the target's memory that may be reserved in total
   */
  @Nullable BackendState cheapest(
      BackendState source, RunningRequest running, double memoryShare, long nowMillis) {
    EngineCapabilities engine = backends.engineOf(source.service());
    if (engine == null) {
      return null;
    }
    double requestTokens = running.memoryTokens();
    return Backends.cheapest(
        backends
            .usableFor(running.id, running.request, nowMillis)
            .filter(candidate -> candidate != source)
            .filter(
                candidate ->
                    ServiceVersion.isSame(candidate.softwareVersion(), source.softwareVersion()))
            .filter(
                candidate ->
                    capacityRules.hasCapacity(
                        candidate, engine, requestTokens, memoryShare, nowMillis)),
        candidate ->
            cost(source, candidate, engine) + pauseCost(candidate, engine, running, nowMillis));
  }

  private double pauseCost(
      BackendState target, EngineCapabilities engine, RunningRequest running, long nowMillis) {
    int outputTokens = running.remainingTokens();
    return PAUSE_COST
        * capacityView.pauseExcess(target, engine, running.request, outputTokens, nowMillis);
  }

  private static double cost(BackendState source, BackendState target, EngineCapabilities engine) {
    boolean sameDataCentre =
        source.registration().getDataCentre().equals(target.registration().getDataCentre());
    double memoryUsed = target.memoryTokens() / Math.max(1, engine.memoryTokens());
    long incomingMigrations =
        target.requests.values().stream().filter(running -> running.migratingIn).count();
    return memoryUsed
        + (sameDataCentre ? 0 : OTHER_DATA_CENTRE_COST)
        + incomingMigrations * BUSY_LINK_COST;
  }
}
