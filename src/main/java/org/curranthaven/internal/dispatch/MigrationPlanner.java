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
  private static final double MIN_MOVE_REST_MILLIS = 1_000;

  /** Cost of a move to another data centre, which takes twice as long, in shares of a memory. */
  private static final double FAR_MOVE_COST = 0.35;

  /** Cost of a move to an engine whose link another move fills, in shares of a memory. */
  private static final double BUSY_LINK_COST = 0.7;

  private static final int MAX_MOVE_ATTEMPTS = 3;

  private final Backends backends;
  private final CapacityRules rooms;
  private final Consumer<DispatchDecision> decisions;

  MigrationPlanner(Backends backends, CapacityRules rooms, Consumer<DispatchDecision> decisions) {
    this.backends = backends;
    this.rooms = rooms;
    this.decisions = decisions;
  }

  /**
   * Moves calls away from a leaving engine, one after the other: copies share its link, and one
   * that is whole saves a call, while several that are half made save none. The smallest go first.
   */
  void moveAwayFrom(BackendState source, long nowMillis) {
    EngineCapabilities engine = backends.engineOf(source.service());
    if (!source.isLeaving() || engine == null || !engine.moves()) {
      return;
    }
    if (source.calls.values().stream().anyMatch(call -> call.moving)) {
      return;
    }
    List<RunningRequest> smallestFirst =
        source.calls.values().stream()
            .filter(MigrationPlanner::isWorthMoving)
            .sorted(Comparator.comparingDouble(RunningRequest::memoryTokens))
            .toList();
    for (RunningRequest call : smallestFirst) {
      if (moveAway(source, call, engine, nowMillis)) {
        return;
      }
    }
  }

  private static boolean isWorthMoving(RunningRequest call) {
    boolean endsSoon =
        call.remainingTokens() * QueueTimeForecast.TOKEN_MILLIS < MIN_MOVE_REST_MILLIS;
    return call.outputTokens() > 0 && !endsSoon && call.moveAttempts < MAX_MOVE_ATTEMPTS;
  }

  /**
   * Orders the move of a call to the engine to which it takes the least; returns whether it did.
   */
  private boolean moveAway(
      BackendState source, RunningRequest call, EngineCapabilities engine, long nowMillis) {
    BackendState target = cheapest(source, call, engine, CapacityRules.MEMORY_SHARE, nowMillis);
    if (target == null) {
      return false;
    }
    call.moving = true;
    call.moveAttempts++;
    // Counted at the target from now on, and at the source until the move has ended.
    RunningRequest copy = new RunningRequest(call.key, call.ask, call.remainingTokens(), nowMillis);
    copy.progressed(call.outputTokens());
    copy.arriving = true;
    target.calls.put(call.key, copy);
    keepCopy(target, copy, nowMillis);
    decisions.accept(new DispatchDecision.Migrate(call.key, target.id(), copy.backup));
    return true;
  }

  /** Returns the engine with room to which the call's memory takes the least; null for none. */
  private @Nullable BackendState cheapest(
      BackendState source,
      RunningRequest call,
      EngineCapabilities engine,
      double memoryShare,
      long nowMillis) {
    double tokens = call.memoryTokens();
    return Backends.cheapest(
        backends
            .usable(call.ask, nowMillis)
            .filter(other -> other != source)
            .filter(other -> rooms.hasRoom(other, engine, tokens, memoryShare, nowMillis)),
        other -> moveCost(source, other, engine));
  }

  private static double moveCost(
      BackendState source, BackendState target, EngineCapabilities engine) {
    boolean near =
        source.registration().getDataCentre().equals(target.registration().getDataCentre());
    double memory = target.memoryTokens() / Math.max(1, engine.memoryTokens());
    long arriving = target.calls.values().stream().filter(call -> call.arriving).count();
    return memory + (near ? 0 : FAR_MOVE_COST) + arriving * BUSY_LINK_COST;
  }

  /** Notes that the call left the source: for the target of its move, or for its copy. */
  void moved(RequestId key, BackendState source) {
    RunningRequest call = source.calls.remove(key);
    backends.forgetIfGone(source);
    BackendState keeper = call == null ? null : backends.get(call.backup);
    if (call != null) {
      dropCopy(call);
    }
    if (call != null && !call.moving && keeper != null) {
      keeper.calls.put(key, call);
    }
    for (BackendState target : backends.all()) {
      RunningRequest arrived = target.calls.get(key);
      if (arrived != null) {
        arrived.arriving = false;
        backends.nowAt(key, target);
        return;
      }
    }
    backends.unplaced(key);
  }

  /** Notes that the call goes on at the source, or has ended there. */
  void moveFailed(RequestId key, BackendState source) {
    RunningRequest call = source.calls.get(key);
    if (call != null) {
      call.moving = false;
    }
    for (BackendState other : backends.all()) {
      RunningRequest copy = other == source ? null : other.calls.remove(key);
      if (copy != null) {
        dropCopy(copy);
      }
    }
  }

  /**
   * Has a copy of an irreplaceable call kept where memory is left over: at the engine that keeps it
   * and at the service's engines together, so that copies do not take what calls need.
   */
  void keepCopy(BackendState runsAt, RunningRequest call, long nowMillis) {
    EngineCapabilities engine = backends.engineOf(runsAt.service());
    if (engine == null || !engine.backups() || !call.ask.getIrreplaceable()) {
      return;
    }
    if (memoryFill(runsAt.service(), engine) >= CapacityRules.COPY_MEMORY_SHARE) {
      return;
    }
    BackendState keeper =
        cheapest(runsAt, call, engine, CapacityRules.COPY_MEMORY_SHARE, nowMillis);
    if (keeper != null) {
      call.backup = keeper.id();
      keeper.copies.put(call.key, call);
    }
  }

  /** Returns the share of the memory of all the service's engines that is in use. */
  private double memoryFill(String service, EngineCapabilities engine) {
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

  void dropCopy(RunningRequest call) {
    BackendState keeper = backends.get(call.backup);
    call.backup = "";
    if (keeper != null) {
      keeper.copies.remove(call.key, call);
    }
  }
}
