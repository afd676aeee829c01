package org.curranthaven.internal.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import org.curranthaven.internal.catalog.EngineCapabilities;
import org.jspecify.annotations.Nullable;

/**
 * Moves running calls off engines that leave, and has copies of irreplaceable ones kept. Answers
 * the load under which engines are taken away while their calls run. Not thread-safe.
 */
final class MigrationPlanner {
  /** Output still to come below which a call on a leaving backend server is not moved, in ms. */
  private static final double MIN_REMAINING_MILLIS = 1_000;

  /** Cost of a move to another data centre, which takes twice as long, in shares of a memory. */
  private static final double OTHER_DATA_CENTRE_COST = 0.35;

  /** Cost of a move to an engine whose link another move fills, in shares of a memory. */
  private static final double BUSY_LINK_COST = 0.7;

  private static final int MAX_MIGRATION_ATTEMPTS = 3;

  private final Backends backends;
  private final CapacityRules capacityRules;
  private final Consumer<DispatchDecision> decisions;

  MigrationPlanner(Backends backends, CapacityRules rooms, Consumer<DispatchDecision> decisions) {
    this.backends = backends;
    this.capacityRules = rooms;
    this.decisions = decisions;
  }

  /**
   * Moves calls away from a leaving engine, one after the other: copies share its link, and one
   * that is whole saves a call, while several that are half made save none. The smallest go first.
   */
  void migrateFrom(BackendState source, long nowMillis) {
    EngineCapabilities engine = backends.engineOf(source.service());
    if (!source.isLeaving() || engine == null || !engine.supportsMigration()) {
      return;
    }
    if (source.requests.values().stream().anyMatch(call -> call.migratingAway)) {
      return;
    }
    List<RunningRequest> smallestFirst =
        source.requests.values().stream()
            .filter(MigrationPlanner::isWorthMigrating)
            .sorted(Comparator.comparingDouble(RunningRequest::memoryTokens))
            .toList();
    for (RunningRequest call : smallestFirst) {
      if (migrate(source, call, engine, nowMillis)) {
        return;
      }
    }
  }

  private static boolean isWorthMigrating(RunningRequest call) {
    boolean endsSoon =
        call.remainingTokens() * QueueTimeForecast.MILLIS_PER_OUTPUT_TOKEN < MIN_REMAINING_MILLIS;
    return call.outputTokens() > 0 && !endsSoon && call.migrationAttempts < MAX_MIGRATION_ATTEMPTS;
  }

  /**
   * Orders the move of a call to the engine to which it takes the least; returns whether it did.
   */
  private boolean migrate(
      BackendState source, RunningRequest call, EngineCapabilities engine, long nowMillis) {
    BackendState target =
        cheapestTarget(source, call, engine, CapacityRules.MOST_URGENT_MEMORY_SHARE, nowMillis);
    if (target == null) {
      return false;
    }
    call.migratingAway = true;
    call.migrationAttempts++;
    // Counted at the target from now on, and at the source until the move has ended.
    RunningRequest copy =
        new RunningRequest(call.id, call.request, call.remainingTokens(), nowMillis);
    copy.outputProgressed(call.outputTokens());
    copy.migratingIn = true;
    target.requests.put(call.id, copy);
    assignBackup(target, copy, nowMillis);
    decisions.accept(new DispatchDecision.Migrate(call.id, target.id(), copy.backup));
    return true;
  }

  /** Returns the engine with room to which the call's memory takes the least; null for none. */
  private @Nullable BackendState cheapestTarget(
      BackendState source,
      RunningRequest call,
      EngineCapabilities engine,
      double memoryShare,
      long nowMillis) {
    double tokens = call.memoryTokens();
    return Backends.cheapest(
        backends
            .usableFor(call.request, nowMillis)
            .filter(other -> other != source)
            .filter(
                other -> capacityRules.hasCapacity(other, engine, tokens, memoryShare, nowMillis)),
        other -> migrationCost(source, other, engine));
  }

  private static double migrationCost(
      BackendState source, BackendState target, EngineCapabilities engine) {
    boolean near =
        source.registration().getDataCentre().equals(target.registration().getDataCentre());
    double memory = target.memoryTokens() / Math.max(1, engine.memoryTokens());
    long arriving = target.requests.values().stream().filter(call -> call.migratingIn).count();
    return memory + (near ? 0 : OTHER_DATA_CENTRE_COST) + arriving * BUSY_LINK_COST;
  }

  /** Notes that the call left the source: for the target of its move, or for its copy. */
  void leftSource(RequestId key, BackendState source) {
    RunningRequest call = source.requests.remove(key);
    backends.removeIfDrained(source);
    BackendState keeper = call == null ? null : backends.get(call.backup);
    if (call != null) {
      releaseBackup(call);
    }
    if (call != null && !call.migratingAway && keeper != null) {
      keeper.requests.put(key, call);
    }
    for (BackendState target : backends.all()) {
      RunningRequest arrived = target.requests.get(key);
      if (arrived != null) {
        arrived.migratingIn = false;
        backends.changePlacement(key, target);
        return;
      }
    }
    backends.removePlacement(key);
  }

  /** Notes that the call goes on at the source, or has ended there. */
  void migrationFailed(RequestId key, BackendState source) {
    RunningRequest call = source.requests.get(key);
    if (call != null) {
      call.migratingAway = false;
    }
    for (BackendState other : backends.all()) {
      RunningRequest copy = other == source ? null : other.requests.remove(key);
      if (copy != null) {
        releaseBackup(copy);
      }
    }
  }

  /**
   * Has a copy of an irreplaceable call kept where memory is left over: at the engine that keeps it
   * and at the service's engines together, so that copies do not take what calls need.
   */
  void assignBackup(BackendState runsAt, RunningRequest call, long nowMillis) {
    EngineCapabilities engine = backends.engineOf(runsAt.service());
    if (engine == null || !engine.supportsBackups() || !call.request.getIrreplaceable()) {
      return;
    }
    if (memoryUtilization(runsAt.service(), engine) >= CapacityRules.BACKUP_MEMORY_SHARE) {
      return;
    }
    BackendState keeper =
        cheapestTarget(runsAt, call, engine, CapacityRules.BACKUP_MEMORY_SHARE, nowMillis);
    if (keeper != null) {
      call.backup = keeper.id();
      keeper.backupCopies.put(call.id, call);
    }
  }

  /** Returns the share of the memory of all the service's engines that is in use. */
  private double memoryUtilization(String service, EngineCapabilities engine) {
    double used = 0;
    double all = 0;
    for (BackendState backend : backends.all()) {
      if (backend.serves(service) && !backend.isLeaving()) {
        used += backend.memoryTokens();
        all += engine.memoryTokens();
      }
    }
    return all == 0 ? 1 : used / all;
  }

  void releaseBackup(RunningRequest call) {
    BackendState keeper = backends.get(call.backup);
    call.backup = "";
    if (keeper != null) {
      keeper.backupCopies.remove(call.id, call);
    }
  }
}
