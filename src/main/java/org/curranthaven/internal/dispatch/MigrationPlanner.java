package org.curranthaven.internal.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import org.curranthaven.internal.catalog.EngineCapabilities;
import org.jspecify.annotations.Nullable;

/**
 * Migrates running requests away from leaving engines and assigns backup copies to irreplaceable
 * requests, so that they survive engines being removed under load. Not thread-safe.
 */
final class MigrationPlanner {
  /** Forecast time to the end below which a request on a leaving engine is not migrated. */
  private static final double MIN_REMAINING_MILLIS = 1_000;

  /** Cost of migrating to another data centre, which takes twice as long; 1 is a full memory. */
  private static final double OTHER_DATA_CENTRE_COST = 0.35;

  /** Cost of each migration that already uses the target's network link; 1 is a full memory. */
  private static final double BUSY_LINK_COST = 0.7;

  private static final int MAX_MIGRATION_ATTEMPTS = 3;

  private final Backends backends;
  private final CapacityRules capacityRules;
  private final Consumer<DispatchDecision> decisions;

  MigrationPlanner(
      Backends backends, CapacityRules capacityRules, Consumer<DispatchDecision> decisions) {
    this.backends = backends;
    this.capacityRules = capacityRules;
    this.decisions = decisions;
  }

  /**
   * Migrates requests away from a leaving engine, one at a time and the smallest first. State
   * transfers share the engine's network link, and one complete transfer preserves a request while
   * several partial ones preserve none.
   */
  void migrateFrom(BackendState source, long nowMillis) {
    EngineCapabilities engine = backends.engineOf(source.service());
    if (!source.isLeaving() || engine == null || !engine.supportsMigration()) {
      return;
    }
    if (source.requests.values().stream().anyMatch(running -> running.migratingAway)) {
      return;
    }
    List<RunningRequest> smallestFirst =
        source.requests.values().stream()
            .filter(MigrationPlanner::isWorthMigrating)
            .sorted(Comparator.comparingDouble(RunningRequest::memoryTokens))
            .toList();
    for (RunningRequest running : smallestFirst) {
      if (migrate(source, running, engine, nowMillis)) {
        return;
      }
    }
  }

  private static boolean isWorthMigrating(RunningRequest running) {
    boolean endsSoon =
        running.remainingTokens() * QueueTimeForecast.MILLIS_PER_OUTPUT_TOKEN
            < MIN_REMAINING_MILLIS;
    return running.outputTokens() > 0
        && !endsSoon
        && running.migrationAttempts < MAX_MIGRATION_ATTEMPTS;
  }

  /** Decides to migrate a request to the cheapest target; returns whether there was one. */
  private boolean migrate(
      BackendState source, RunningRequest running, EngineCapabilities engine, long nowMillis) {
    BackendState target =
        cheapestTarget(source, running, engine, CapacityRules.MOST_URGENT_MEMORY_SHARE, nowMillis);
    if (target == null) {
      return false;
    }
    RunningRequest incoming = addIncoming(running, target, nowMillis);
    assignBackup(target, incoming, nowMillis);
    decisions.accept(new DispatchDecision.Migrate(running.id, target.id(), incoming.backup));
    return true;
  }

  /**
   * Counts a migrating request on its target from now on, and on its source until the migration has
   * ended.
   */
  private static RunningRequest addIncoming(
      RunningRequest running, BackendState target, long nowMillis) {
    running.migratingAway = true;
    running.migrationAttempts++;
    RunningRequest incoming =
        new RunningRequest(running.id, running.request, running.remainingTokens(), nowMillis);
    incoming.outputProgressed(running.outputTokens());
    incoming.migratingIn = true;
    target.requests.put(running.id, incoming);
    return incoming;
  }

  /** Restores a migration that another scheduler started; does nothing if its target is unknown. */
  void restoreMigration(RunningRequest running, String targetId, String backupId, long nowMillis) {
    BackendState target = backends.get(targetId);
    if (target != null && !target.requests.containsKey(running.id)) {
      restoreBackup(addIncoming(running, target, nowMillis), backupId);
    }
  }

  /** Restores a backup copy that another scheduler assigned; does nothing without its engine. */
  void restoreBackup(RunningRequest running, String backupId) {
    BackendState backupEngine = backends.get(backupId);
    if (backupEngine != null) {
      running.backup = backupId;
      backupEngine.backupCopies.put(running.id, running);
    }
  }

  /** Returns the engine with capacity that has the lowest migration cost; null if there is none. */
  private @Nullable BackendState cheapestTarget(
      BackendState source,
      RunningRequest running,
      EngineCapabilities engine,
      double memoryShare,
      long nowMillis) {
    double requestTokens = running.memoryTokens();
    return Backends.cheapest(
        backends
            .usableFor(running.request, nowMillis)
            .filter(candidate -> candidate != source)
            .filter(
                candidate ->
                    capacityRules.hasCapacity(
                        candidate, engine, requestTokens, memoryShare, nowMillis)),
        candidate -> migrationCost(source, candidate, engine));
  }

  private static double migrationCost(
      BackendState source, BackendState target, EngineCapabilities engine) {
    boolean sameDataCentre =
        source.registration().getDataCentre().equals(target.registration().getDataCentre());
    double memoryUsed = target.memoryTokens() / Math.max(1, engine.memoryTokens());
    long incomingMigrations =
        target.requests.values().stream().filter(running -> running.migratingIn).count();
    return memoryUsed
        + (sameDataCentre ? 0 : OTHER_DATA_CENTRE_COST)
        + incomingMigrations * BUSY_LINK_COST;
  }

  /** Handles a request that now continues on its migration target or from its backup copy. */
  void leftSource(RequestId requestId, BackendState source) {
    RunningRequest running = source.requests.remove(requestId);
    backends.removeIfDrained(source);
    BackendState backupEngine = running == null ? null : backends.get(running.backup);
    if (running != null) {
      releaseBackup(running);
    }
    if (running != null && !running.migratingAway && backupEngine != null) {
      backupEngine.requests.put(requestId, running);
    }
    for (BackendState target : backends.all()) {
      RunningRequest incoming = target.requests.get(requestId);
      if (incoming != null) {
        incoming.migratingIn = false;
        backends.changePlacement(requestId, target);
        return;
      }
    }
    backends.removePlacement(requestId);
  }

  /** Handles a failed migration: the request continues on the source or has ended there. */
  void migrationFailed(RequestId requestId, BackendState source) {
    RunningRequest running = source.requests.get(requestId);
    if (running != null) {
      running.migratingAway = false;
    }
    for (BackendState other : backends.all()) {
      RunningRequest incoming = other == source ? null : other.requests.remove(requestId);
      if (incoming != null) {
        releaseBackup(incoming);
      }
    }
  }

  /**
   * Assigns an engine to keep the backup copy of an irreplaceable request. Requires spare memory
   * both on that engine and over all engines of the service, so that backup copies do not take
   * memory that requests need.
   */
  void assignBackup(BackendState primary, RunningRequest running, long nowMillis) {
    EngineCapabilities engine = backends.engineOf(primary.service());
    if (engine == null || !engine.supportsBackups() || !running.request.getIrreplaceable()) {
      return;
    }
    if (memoryUtilization(primary.service(), engine) >= CapacityRules.BACKUP_MEMORY_SHARE) {
      return;
    }
    BackendState backupEngine =
        cheapestTarget(primary, running, engine, CapacityRules.BACKUP_MEMORY_SHARE, nowMillis);
    if (backupEngine != null) {
      restoreBackup(running, backupEngine.id());
    }
  }

  /** Returns the share of memory in use over all engines of the service that are not leaving. */
  private double memoryUtilization(String service, EngineCapabilities engine) {
    double usedTokens = 0;
    double totalTokens = 0;
    for (BackendState backend : backends.all()) {
      if (backend.serves(service) && !backend.isLeaving()) {
        usedTokens += backend.memoryTokens();
        totalTokens += engine.memoryTokens();
      }
    }
    return totalTokens == 0 ? 1 : usedTokens / totalTokens;
  }

  void releaseBackup(RunningRequest running) {
    BackendState backupEngine = backends.get(running.backup);
    running.backup = "";
    if (backupEngine != null) {
      backupEngine.backupCopies.remove(running.id, running);
    }
  }
}
