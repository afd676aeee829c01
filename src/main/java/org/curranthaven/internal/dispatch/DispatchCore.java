package org.curranthaven.internal.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.SortedSet;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.EngineCapabilities;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.jspecify.annotations.Nullable;

/**
 * Places routed calls on backend servers. It owns no clock, thread or socket: events go in, and
 * {@link #drainDecisions} tells what to do.
 *
 * <pre>{@code
 * core.updateBackend(registration, now);
 * core.submit(key, ask, now);
 * core.drainDecisions().forEach(this::carryOut);
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class DispatchCore {
  /** Weight of a full memory against prompt tokens that wait to be read. */
  private static final double MEMORY_WEIGHT_TOKENS = 2_500;

  /** Weight of a start that is still slow, in prompt tokens. */
  private static final double WARM_UP_WEIGHT_TOKENS = 4_000;

  /** Weight of another data centre, in prompt tokens. */
  private static final double OTHER_DATA_CENTRE_WEIGHT_TOKENS = 30;

  /** Time for which a backend server that turned a call away gets none. */
  private static final long FULL_BACKOFF_MILLIS = 150;

  /** Weight of chance where hosts that decide alone do not know what the others place. */
  private static final double LOCAL_JITTER_TOKENS = 3_000;

  /** Time after its target at which a plain call that waits is turned away: it is short. */
  private static final long MAX_PLAIN_LATENESS_MILLIS = 300;

  private static final int MAX_URGENCY = 9;

  private final RetryLimits retryLimits;
  private final RandomGenerator random;
  private final Backends backends = new Backends();
  private final DispatchQueue queue = new DispatchQueue();
  private final Map<String, ServiceRetryBudget> retryBudgets = new HashMap<>();
  private final CapacityRules capacityRules;
  private final QueueTimeForecast forecast;
  private final MigrationPlanner migrationPlanner;
  private List<DispatchDecision> decisions = new ArrayList<>();

  /**
   * Creates a core.
   *
   * @param capacityShares number of hosts that decide alone on the same backend servers; 1 for the
   *     one scheduler
   */
  public DispatchCore(RetryLimits retryLimits, int capacityShares, RandomGenerator random) {
    this.retryLimits = retryLimits.dividedAmong(capacityShares);
    this.random = random;
    this.capacityRules = new CapacityRules(capacityShares);
    this.forecast = new QueueTimeForecast(backends, capacityRules.capacityShares(), random);
    this.migrationPlanner =
        new MigrationPlanner(backends, capacityRules, decision -> decisions.add(decision));
  }

  /** Returns and forgets what was decided since the last call, in order. */
  public List<DispatchDecision> drainDecisions() {
    if (decisions.isEmpty()) {
      return List.of();
    }
    List<DispatchDecision> taken = decisions;
    decisions = new ArrayList<>();
    return taken;
  }

  /** Returns the number of calls that wait. */
  public int queuedRequests() {
    return queue.size();
  }

  /** Returns whether the call was taken in and waits for room. */
  public boolean isQueued(RequestId key) {
    return queue.contains(key);
  }

  /** Returns the number of calls that run. */
  public int runningRequests() {
    return backends.runningRequests();
  }

  // ---- backend servers --------------------------------------------------------------------------

  /** Puts a catalog into force. */
  public void setCatalog(Catalog newer) {
    backends.setCatalog(newer);
  }

  /** Notes a new backend server, or news of one. */
  public void updateBackend(BackendRecord registration, long nowMillis) {
    backends.register(registration, nowMillis);
    migrateFrom(registration.getId(), nowMillis);
    serveQueue(registration.getService(), nowMillis);
  }

  /** Notes that a backend server takes no more calls; those that run on it may go on. */
  public void removeBackend(String id, long nowMillis) {
    BackendState state = backends.get(id);
    if (state == null) {
      return;
    }
    state.updateRegistration(state.registration().toBuilder().setLeaving(true).build(), nowMillis);
    migrationPlanner.migrateFrom(state, nowMillis);
    backends.removeIfDrained(state);
  }

  private void migrateFrom(String id, long nowMillis) {
    BackendState state = backends.get(id);
    if (state != null) {
      migrationPlanner.migrateFrom(state, nowMillis);
    }
  }

  // ---- calls ------------------------------------------------------------------------------------

  /** Takes in a call that is to be placed. */
  public void submit(RequestId key, PlacementRequest ask, long nowMillis) {
    requestEnded(key, DispatchOutcome.DISPATCH_OUTCOME_CANCELLED, 0, nowMillis);
    ServiceRetryBudget window =
        retryBudgets.computeIfAbsent(ask.getService(), name -> new ServiceRetryBudget(retryLimits));
    if (!ask.getRepeat()) {
      window.recordRequest(nowMillis);
    } else if (!window.tryRetry(nowMillis)) {
      reject(key, QueueTimeForecast.MIN_RETRY_AFTER_MILLIS, RejectionReason.RETRIES_USED_UP);
      return;
    }
    SortedSet<QueuedRequest> serviceQueue = queue.requestsOf(ask.getService());
    boolean overtakes =
        serviceQueue.isEmpty() || ask.getPriority() < serviceQueue.first().request().getPriority();
    PlacementResult placing =
        overtakes
            ? place(key, ask, ask.getTargetLeftMillis(), nowMillis)
            : PlacementResult.NO_CAPACITY;
    if (placing != PlacementResult.PLACED) {
      queueOrReject(key, ask, placing, nowMillis);
    }
  }

  private void queueOrReject(
      RequestId key, PlacementRequest ask, PlacementResult placing, long nowMillis) {
    long targetLeft = Math.min(ask.getTargetLeftMillis(), ask.getDeadlineLeftMillis());
    boolean served = hasCandidates(ask, nowMillis);
    if (!served && ask.getExcludedCount() > 0) {
      reject(key, QueueTimeForecast.MIN_RETRY_AFTER_MILLIS, RejectionReason.ALL_TRIED);
      return;
    }
    double expected =
        served
            ? expectedQueueMillis(ask, placing)
            : QueueTimeForecast.UNKNOWN_SERVICE_TIMEOUT_MILLIS;
    long readMillis = forecast.idleFirstReplyMillis(ask);
    boolean inTime = served ? expected + readMillis <= targetLeft : targetLeft > expected;
    if (!inTime || queue.isFull()) {
      if (!served || !placeLate(key, ask, nowMillis)) {
        rejectForCapacity(key, served, expected);
      }
      return;
    }
    long mostWait =
        ask.getEngine() ? targetLeft - readMillis : targetLeft + MAX_PLAIN_LATENESS_MILLIS;
    long wait = served ? mostWait : QueueTimeForecast.UNKNOWN_SERVICE_TIMEOUT_MILLIS;
    long giveUpAt = nowMillis + Math.min(wait, ask.getDeadlineLeftMillis());
    long dueAt = nowMillis + ask.getTargetLeftMillis();
    queue.add(new QueuedRequest(key, ask, queue.takeSequenceNumber(), dueAt, giveUpAt));
  }

  private double expectedQueueMillis(PlacementRequest ask, PlacementResult placing) {
    // Where there is room but much to read first, reading makes way for the call all the time.
    return placing == PlacementResult.LATE
        ? 0
        : forecast.expectedQueueMillis(ask, queue.requestsOf(ask.getService()));
  }

  /** Notes how far a call's output has come. */
  public void outputProgressed(RequestId key, int outputTokens, long nowMillis) {
    BackendState backend = backends.backendOf(key);
    RunningRequest call = backend == null ? null : backend.requests.get(key);
    if (backend == null || call == null) {
      return;
    }
    boolean first = call.outputTokens() == 0 && outputTokens > 0;
    call.outputProgressed(outputTokens);
    if (first) {
      backends.recordFirstReply(backend);
      forecast.recordFirstReply(call, nowMillis);
      migrationPlanner.migrateFrom(backend, nowMillis);
      serveQueue(backend.service(), nowMillis);
    }
  }

  /** Notes that a call no longer runs where it was placed, or no longer waits. */
  public void requestEnded(
      RequestId key, DispatchOutcome outcome, int outputTokens, long nowMillis) {
    if (queue.remove(key) != null) {
      return;
    }
    BackendState backend = backends.backendOf(key);
    if (backend == null) {
      return;
    }
    switch (outcome) {
      case DISPATCH_OUTCOME_MOVED -> migrationPlanner.leftSource(key, backend);
      case DISPATCH_OUTCOME_MOVE_FAILED -> migrationPlanner.migrationFailed(key, backend);
      default -> finishRunning(key, backend, outcome, outputTokens, nowMillis);
    }
    migrationPlanner.migrateFrom(backend, nowMillis);
    serveQueue(backend.service(), nowMillis);
  }

  private void finishRunning(
      RequestId key, BackendState backend, DispatchOutcome outcome, int tokens, long nowMillis) {
    backends.removePlacement(key);
    RunningRequest call = backend.requests.remove(key);
    if (call == null) {
      return;
    }
    migrationPlanner.releaseBackup(call);
    if (call.migratingAway) {
      migrationPlanner.migrationFailed(key, backend);
    }
    switch (outcome) {
      case DISPATCH_OUTCOME_ANSWERED -> {
        backends.recordSuccess(backend);
        forecast.recordCompletion(call, tokens, nowMillis);
      }
      case DISPATCH_OUTCOME_FAILED, DISPATCH_OUTCOME_UNREACHABLE ->
          backends.recordFailure(backend, nowMillis);
      case DISPATCH_OUTCOME_REJECTED -> backend.markFull(nowMillis + FULL_BACKOFF_MILLIS);
      default -> {}
    }
    backends.removeIfDrained(backend);
  }

  /** Takes in a call that another scheduler placed. */
  public void restoreRunning(
      RequestId key, PlacementRequest ask, String backendId, int outputTokens, long nowMillis) {
    BackendState backend = backends.get(backendId);
    if (backend == null) {
      return;
    }
    RunningRequest call = new RunningRequest(key, ask, forecast.outputTokens(ask), nowMillis);
    call.outputProgressed(outputTokens);
    backends.addPlacement(call, backend);
    migrationPlanner.migrateFrom(backend, nowMillis);
  }

  /** Notes that a gateway is gone with all its calls. */
  public void removeGateway(String gateway, long nowMillis) {
    List<RequestId> keys = new ArrayList<>(queue.ids());
    keys.addAll(backends.runningRequestIds());
    keys.removeIf(key -> !key.gateway().equals(gateway));
    keys.forEach(
        key -> requestEnded(key, DispatchOutcome.DISPATCH_OUTCOME_CANCELLED, 0, nowMillis));
  }

  /** Turns away calls whose time to wait is up, and tries the others again. */
  public void tick(long nowMillis) {
    for (QueuedRequest call : queue.expired(nowMillis)) {
      queue.remove(call.id());
      if (!placeLate(call.id(), call.request(), nowMillis)) {
        double expected = expectedQueueMillis(call.request(), PlacementResult.NO_CAPACITY);
        rejectForCapacity(call.id(), hasCandidates(call.request(), nowMillis), expected);
      }
    }
    queue.services().forEach(service -> serveQueue(service, nowMillis));
    for (BackendState backend : List.copyOf(backends.all())) {
      migrationPlanner.migrateFrom(backend, nowMillis);
    }
  }

  // ---- placing ----------------------------------------------------------------------------------

  private void serveQueue(String service, long nowMillis) {
    NavigableSet<QueuedRequest> serviceQueue = queue.requestsOf(service);
    QueuedRequest call = serviceQueue.isEmpty() ? null : serviceQueue.first();
    while (call != null) {
      PlacementResult placing =
          place(call.id(), call.request(), call.dueAtMillis() - nowMillis, nowMillis);
      if (placing == PlacementResult.PLACED) {
        queue.remove(call.id());
      } else if (placing == PlacementResult.NO_CAPACITY) {
        // Those behind it would take the room that a large call waits for.
        return;
      }
      call = serviceQueue.higher(call);
    }
  }

  /** What came of the attempt to place a call. */
  private enum PlacementResult {
    PLACED,
    /** No backend server has room. */
    NO_CAPACITY,
    /** There is room, but so much to read first that the call would be late. */
    LATE
  }

  /** Places a call where it can be in time. */
  private PlacementResult place(
      RequestId key, PlacementRequest ask, long targetLeftMillis, long nowMillis) {
    double share = CapacityRules.memoryShare(ask, mostUrgentPriority(ask.getService()));
    RunningRequest call = new RunningRequest(key, ask, forecast.outputTokens(ask), nowMillis);
    List<BackendState> withRoom = withCapacity(call, share, nowMillis).toList();
    BackendState best =
        cheapest(
            withRoom.stream().filter(backend -> isInTime(backend, ask, targetLeftMillis)),
            ask,
            nowMillis);
    if (best != null) {
      commitPlacement(call, best, nowMillis);
      return PlacementResult.PLACED;
    }
    return withRoom.isEmpty() ? PlacementResult.NO_CAPACITY : PlacementResult.LATE;
  }

  private boolean isInTime(BackendState backend, PlacementRequest ask, long targetLeftMillis) {
    int tokensAhead = backend.pendingPromptTokens() + ask.getPromptTokens();
    return !ask.getEngine() || forecast.firstReplyMillis(ask, tokensAhead) <= targetLeftMillis;
  }

  /** Places a call that cannot be in time any more, where that takes no room from others. */
  private boolean placeLate(RequestId key, PlacementRequest ask, long nowMillis) {
    RunningRequest call = new RunningRequest(key, ask, forecast.outputTokens(ask), nowMillis);
    boolean othersWait = !queue.requestsOf(ask.getService()).isEmpty();
    double share =
        othersWait
            ? CapacityRules.LATE_MEMORY_SHARE
            : CapacityRules.memoryShare(ask, mostUrgentPriority(ask.getService()));
    Stream<BackendState> withRoom = withCapacity(call, share, nowMillis);
    BackendState best = cheapest(withRoom, ask, nowMillis);
    if (best != null) {
      commitPlacement(call, best, nowMillis);
    }
    return best != null;
  }

  private Stream<BackendState> withCapacity(RunningRequest call, double share, long nowMillis) {
    EngineCapabilities engine = backends.engineOf(call.request.getService());
    double tokens = call.memoryTokens();
    return backends
        .usableFor(call.request, nowMillis)
        .filter(backend -> capacityRules.hasCapacity(backend, engine, tokens, share, nowMillis));
  }

  private @Nullable BackendState cheapest(
      Stream<BackendState> among, PlacementRequest ask, long nowMillis) {
    EngineCapabilities engine = backends.engineOf(ask.getService());
    return Backends.cheapest(among, backend -> cost(backend, engine, ask, nowMillis));
  }

  private void commitPlacement(RunningRequest call, BackendState best, long nowMillis) {
    call.promptTokensToFirstReply = best.pendingPromptTokens() + call.request.getPromptTokens();
    backends.addPlacement(call, best);
    best.promptPartCache.recordRead(call.request.getPartsList());
    migrationPlanner.assignBackup(best, call, nowMillis);
    int urgency = Math.min(MAX_URGENCY, call.request.getPriority());
    decisions.add(new DispatchDecision.Place(call.id, best.id(), urgency, call.backup));
  }

  private boolean hasCandidates(PlacementRequest ask, long nowMillis) {
    return backends.usableFor(ask, nowMillis).findAny().isPresent();
  }

  private int mostUrgentPriority(String service) {
    int most = Integer.MAX_VALUE;
    for (BackendState backend : backends.all()) {
      if (backend.serves(service)) {
        for (RunningRequest call : backend.requests.values()) {
          most = Math.min(most, call.request.getPriority());
        }
      }
    }
    return most;
  }

  private double cost(
      BackendState backend,
      @Nullable EngineCapabilities engine,
      PlacementRequest ask,
      long nowMillis) {
    double far = ask.getDataCentre().equals(backend.registration().getDataCentre()) ? 0 : 1;
    double cold = backend.isWarmingUp(nowMillis) ? WARM_UP_WEIGHT_TOKENS : 0;
    if (engine == null) {
      double load = (double) backend.requests.size() / backend.slots();
      return load * MEMORY_WEIGHT_TOKENS
          + far * OTHER_DATA_CENTRE_WEIGHT_TOKENS
          + cold
          + random.nextDouble();
    }
    double memory = backend.memoryTokens() / Math.max(1, engine.memoryTokens());
    double chance =
        capacityRules.capacityShares() > 1 ? LOCAL_JITTER_TOKENS * random.nextDouble() : 0;
    return backend.pendingPromptTokens()
        + chance
        + memory * MEMORY_WEIGHT_TOKENS
        + far * OTHER_DATA_CENTRE_WEIGHT_TOKENS
        + cold
        - backend.promptPartCache.cachedPrefixTokens(ask.getPartsList());
  }

  // ---- turning away -----------------------------------------------------------------------------

  private void rejectForCapacity(RequestId key, boolean served, double expectedMillis) {
    reject(
        key,
        forecast.retryAfterMillis(expectedMillis),
        served ? RejectionReason.NO_ROOM_IN_TIME : RejectionReason.NO_BACKEND);
  }

  private void reject(RequestId key, long retryAfterMillis, RejectionReason reason) {
    decisions.add(new DispatchDecision.Reject(key, retryAfterMillis, reason));
  }
}
