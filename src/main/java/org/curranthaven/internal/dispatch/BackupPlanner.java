package org.curranthaven.internal.dispatch;

import org.curranthaven.internal.catalog.EngineCapabilities;

/**
 * Assigns engines that keep backup copies of irreplaceable requests, so that a long stream survives
 * the loss of its engine: engines are taken away at a notice that is too short to migrate all their
 * requests. Not thread-safe.
 */
final class BackupPlanner {
  /** Forecast duration below which a request gets no backup copy: it ends within a notice. */
  private static final double MIN_DURATION_MILLIS = 1_000;

  private final Backends backends;
  private final TransferTargets targets;
  private final EngineSpeeds speeds;
  private final boolean enabled;

  BackupPlanner(Backends backends, TransferTargets targets, EngineSpeeds speeds, boolean enabled) {
    this.backends = backends;
    this.targets = targets;
    this.speeds = speeds;
    this.enabled = enabled;
  }

  /**
   * Assigns an engine to keep the backup copy of an irreplaceable request. Requires spare memory
   * both on that engine and over all engines of the service, so that backup copies do not take
   * memory that requests need.
   */
  void assign(BackendState primary, RunningRequest running, long nowMillis) {
    EngineCapabilities engine = backends.engineOf(primary.service());
    if (!enabled
        || engine == null
        || !engine.supportsBackups()
        || !running.request.getIrreplaceable()) {
      return;
    }
    boolean endsSoon = speeds.remainingOutputMillis(running) < MIN_DURATION_MILLIS;
    if (endsSoon
        || memoryUtilization(primary.service(), engine) >= CapacityRules.BACKUP_MEMORY_SHARE) {
      return;
    }
    BackendState backupEngine =
        targets.cheapest(primary, running, CapacityRules.BACKUP_MEMORY_SHARE, nowMillis);
    if (backupEngine != null) {
      restore(running, backupEngine.id());
    }
  }

  /** Returns the share of memory in use over all engines of the service that take requests. */
  private double memoryUtilization(String service, EngineCapabilities engine) {
    double usedTokens = 0;
    double totalTokens = 0;
    for (BackendState backend : backends.all()) {
      if (backend.serves(service) && !backends.isClosed(backend)) {
        usedTokens += backend.memoryTokens();
        totalTokens += engine.memoryTokens();
      }
    }
    return totalTokens == 0 ? 1 : usedTokens / totalTokens;
  }

  /** Restores a backup copy that another scheduler assigned; does nothing without its engine. */
  void restore(RunningRequest running, String backupId) {
    BackendState backupEngine = backends.get(backupId);
    if (backupEngine != null) {
      running.backup = backupId;
      backupEngine.backupCopies.put(running.id, running);
    }
  }

  /** Returns whether the request can resume from its backup copy if its engine is lost. */
  boolean isProtected(RunningRequest running) {
    BackendState backupEngine = backends.get(running.backup);
    return backupEngine != null && !backends.isClosed(backupEngine);
  }

  void release(RunningRequest running) {
    BackendState backupEngine = backends.get(running.backup);
    running.backup = "";
    if (backupEngine != null) {
      backupEngine.backupCopies.remove(running.id, running);
    }
  }
}
