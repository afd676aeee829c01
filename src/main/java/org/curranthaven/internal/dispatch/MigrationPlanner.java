package org.curranthaven.internal.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import org.curranthaven.internal.catalog.EngineCapabilities;

/**
 * Migrates running requests away from leaving engines, so that they survive engines being removed
 * under load. Not thread-safe.
 */
final class MigrationPlanner {
  /** Forecast time to the end below which a request on a leaving engine is not migrated. */
  private static final double MIN_REMAINING_MILLIS = 1_000;

  /**
   * Share of the target's memory that may be reserved when migrating; below that of new requests,
   * which leave memory to grow for the larger running ones.
   */
  private static final double MIGRATION_MEMORY_SHARE = 0.95;

  private static final int MAX_MIGRATION_ATTEMPTS = 3;

  private final Backends backends;
  private final TransferTargets targets;
  private final BackupPlanner backups;
  private final EngineSpeeds speeds;
  private final RequestRateLimits rateLimits;
  private final boolean enabled;
  private final Consumer<DispatchDecision> decisions;

  MigrationPlanner(
      Backends backends,
      TransferTargets targets,
      BackupPlanner backups,
      EngineSpeeds speeds,
      RequestRateLimits rateLimits,
      boolean enabled,
      Consumer<DispatchDecision> decisions) {
    this.backends = backends;
    this.targets = targets;
    this.backups = backups;
    this.speeds = speeds;
    this.rateLimits = rateLimits;
    this.enabled = enabled;
    this.decisions = decisions;
  }

  /**
   * Migrates requests away from a leaving engine, one at a time: those without a backup copy first,
   * then the smallest. State transfers share the engine's network link, and one complete transfer
   * preserves a request while several partial ones preserve none.
   */
  void migrateFrom(BackendState source, long nowMillis) {
    EngineCapabilities engine = backends.engineOf(source.service());
    boolean mayMigrate = source.hasAnnouncedLeaving() && !source.hasCrashed();
    if (!enabled || !mayMigrate || engine == null || !engine.supportsMigration()) {
      return;
    }
    if (source.requests.values().stream().anyMatch(running -> running.migratingAway)) {
      return;
    }
    List<RunningRequest> unprotectedFirst =
        source.requests.values().stream()
            .filter(this::isWorthMigrating)
            .sorted(
                Comparator.comparing(backups::isProtected)
                    .thenComparingDouble(RunningRequest::memoryTokens))
            .toList();
    for (RunningRequest running : unprotectedFirst) {
      if (migrate(source, running, nowMillis)) {
        return;
      }
    }
  }

  private boolean isWorthMigrating(RunningRequest running) {
    boolean endsSoon = speeds.remainingOutputMillis(running) < MIN_REMAINING_MILLIS;
    return running.outputTokens() > 0
        && !endsSoon
        && running.migrationAttempts < MAX_MIGRATION_ATTEMPTS;
  }

  /** Decides to migrate a request to the cheapest target; returns whether there was one. */
  private boolean migrate(BackendState source, RunningRequest running, long nowMillis) {
    BackendState target = targets.cheapest(source, running, MIGRATION_MEMORY_SHARE, nowMillis);
    if (target == null) {
      return false;
    }
    RunningRequest incoming = addIncoming(running, target, nowMillis);
    rateLimits.recordPlacement(target.id(), nowMillis);
    backups.assign(target, incoming, nowMillis);
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
    RunningRequest incoming = running.migrated(nowMillis);
    target.requests.put(running.id, incoming);
    return incoming;
  }

  /** Restores a migration that another scheduler started; does nothing if its target is unknown. */
  void restoreMigration(RunningRequest running, String targetId, String backupId, long nowMillis) {
    BackendState target = backends.get(targetId);
    if (target != null && !target.requests.containsKey(running.id)) {
      backups.restore(addIncoming(running, target, nowMillis), backupId);
    }
  }

  /** Handles a request that now continues on its migration target or from its backup copy. */
  void leftSource(RequestId requestId, BackendState source, long nowMillis) {
    RunningRequest running = source.requests.remove(requestId);
    backends.removeIfDrained(source);
    BackendState backupEngine = running == null ? null : backends.get(running.backup);
    if (running != null) {
      backups.release(running);
    }
    if (running != null && !running.migratingAway && backupEngine != null) {
      backupEngine.requests.put(requestId, running);
      rateLimits.recordPlacement(backupEngine.id(), nowMillis);
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

  /**
   * Handles a failed migration: the request continues on the source or has ended there. Its target
   * gets no request for a moment, so that the next attempt goes to another one.
   */
  void migrationFailed(RequestId requestId, BackendState source, long nowMillis) {
    RunningRequest running = source.requests.get(requestId);
    if (running != null) {
      running.migratingAway = false;
    }
    for (BackendState other : backends.all()) {
      RunningRequest incoming = other == source ? null : other.requests.remove(requestId);
      if (incoming != null) {
        backups.release(incoming);
        other.markFull(nowMillis + CapacityRules.FULL_BACKOFF_MILLIS);
      }
    }
  }
}
