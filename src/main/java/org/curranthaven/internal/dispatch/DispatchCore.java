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
  private static final double COLD_WEIGHT_TOKENS = 4_000;

  /** Weight of another data centre, in prompt tokens. */
  private static final double FAR_WEIGHT_TOKENS = 30;

  /** Time for which a backend server that turned a call away gets none. */
  private static final long FULL_MILLIS = 150;

  /** Weight of chance where hosts that decide alone do not know what the others place. */
  private static final double ALONE_SPREAD_TOKENS = 3_000;

  /** Time after its target at which a plain call that waits is turned away: it is short. */
  private static final long PLAIN_LATE_MILLIS = 300;

  private static final int MAX_URGENCY = 9;

  private final RetryLimits retryLimits;
  private final RandomGenerator random;
  private final Backends backends = new Backends();
  private final DispatchQueue waiting = new DispatchQueue();
  private final Map<String, ServiceRetryBudget> retries = new HashMap<>();
  private final CapacityRules rooms;
  private final QueueTimeForecast forecast;
  private final MigrationPlanner moves;
  private List<DispatchDecision> decisions = new ArrayList<>();

  /**
   * Creates a core.
   *
   * @param capacityShares number of hosts that decide alone on the same backend servers; 1 for the
   *     one scheduler
   */
  public DispatchCore(RetryLimits retryLimits, int capacityShares, RandomGenerator random) {
    this.retryLimits = retryLimits.sharedBy(capacityShares);
    this.random = random;
    this.rooms = new CapacityRules(capacityShares);
    this.forecast = new QueueTimeForecast(backends, rooms.capacityShares(), random);
    this.moves = new MigrationPlanner(backends, rooms, decision -> decisions.add(decision));
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
    return waiting.size();
  }

  /** Returns whether the call was taken in and waits for room. */
  public boolean isQueued(RequestId key) {
    return waiting.contains(key);
  }

  /** Returns the number of calls that run. */
  public int runningRequests() {
    return backends.openCalls();
  }

  // ---- backend servers --------------------------------------------------------------------------

  /** Puts a catalog into force. */
  public void setCatalog(Catalog newer) {
    backends.setCatalog(newer);
  }

  /** Notes a new backend server, or news of one. */
  public void updateBackend(BackendRecord registration, long nowMillis) {
    backends.registered(registration, nowMillis);
    moveAwayFrom(registration.getId(), nowMillis);
    serveQueue(registration.getService(), nowMillis);
  }

  /** Notes that a backend server takes no more calls; those that run on it may go on. */
  public void removeBackend(String id, long nowMillis) {
    BackendState state = backends.get(id);
    if (state == null) {
      return;
    }
    state.registered(state.registration().toBuilder().setLeaving(true).build(), nowMillis);
    moves.moveAwayFrom(state, nowMillis);
    backends.forgetIfGone(state);
  }

  private void moveAwayFrom(String id, long nowMillis) {
    BackendState state = backends.get(id);
    if (state != null) {
      moves.moveAwayFrom(state, nowMillis);
    }
  }

  // ---- calls ------------------------------------------------------------------------------------

  /** Takes in a call that is to be placed. */
  public void submit(RequestId key, PlacementRequest ask, long nowMillis) {
    requestEnded(key, DispatchOutcome.DISPATCH_OUTCOME_CANCELLED, 0, nowMillis);
    ServiceRetryBudget window =
        retries.computeIfAbsent(ask.getService(), name -> new ServiceRetryBudget(retryLimits));
    if (!ask.getRepeat()) {
      window.called(nowMillis);
    } else if (!window.tryRetry(nowMillis)) {
      refuse(key, QueueTimeForecast.MIN_RETRY_AFTER_MILLIS, RejectionReason.RETRIES_USED_UP);
      return;
    }
    SortedSet<QueuedRequest> queue = waiting.of(ask.getService());
    boolean overtakes = queue.isEmpty() || ask.getPriority() < queue.first().ask().getPriority();
    Placing placing =
        overtakes ? place(key, ask, ask.getTargetLeftMillis(), nowMillis) : Placing.NO_ROOM;
    if (placing != Placing.PLACED) {
      waitOrRefuse(key, ask, placing, nowMillis);
    }
  }

  private void waitOrRefuse(RequestId key, PlacementRequest ask, Placing placing, long nowMillis) {
    long targetLeft = Math.min(ask.getTargetLeftMillis(), ask.getDeadlineLeftMillis());
    boolean served = hasCandidates(ask, nowMillis);
    if (!served && ask.getExcludedCount() > 0) {
      refuse(key, QueueTimeForecast.MIN_RETRY_AFTER_MILLIS, RejectionReason.ALL_TRIED);
      return;
    }
    double expected =
        served ? expectedWaitMillis(ask, placing) : QueueTimeForecast.UNKNOWN_SERVICE_WAIT_MILLIS;
    long readMillis = forecast.readMillis(ask);
    boolean inTime = served ? expected + readMillis <= targetLeft : targetLeft > expected;
    if (!inTime || waiting.isFull()) {
      if (!served || !placeLate(key, ask, nowMillis)) {
        refuseForRoom(key, served, expected);
      }
      return;
    }
    long mostWait = ask.getEngine() ? targetLeft - readMillis : targetLeft + PLAIN_LATE_MILLIS;
    long wait = served ? mostWait : QueueTimeForecast.UNKNOWN_SERVICE_WAIT_MILLIS;
    long giveUpAt = nowMillis + Math.min(wait, ask.getDeadlineLeftMillis());
    long dueAt = nowMillis + ask.getTargetLeftMillis();
    waiting.add(new QueuedRequest(key, ask, waiting.takeOrder(), dueAt, giveUpAt));
  }

  private double expectedWaitMillis(PlacementRequest ask, Placing placing) {
    // Where there is room but much to read first, reading makes way for the call all the time.
    return placing == Placing.NOT_IN_TIME
        ? 0
        : forecast.expectedWaitMillis(ask, waiting.of(ask.getService()));
  }

  /** Notes how far a call's output has come. */
  public void outputProgressed(RequestId key, int outputTokens, long nowMillis) {
    BackendState backend = backends.runningAt(key);
    RunningRequest call = backend == null ? null : backend.calls.get(key);
    if (backend == null || call == null) {
      return;
    }
    boolean first = call.outputTokens() == 0 && outputTokens > 0;
    call.progressed(outputTokens);
    if (first) {
      backends.replied(backend);
      forecast.replied(call, nowMillis);
      moves.moveAwayFrom(backend, nowMillis);
      serveQueue(backend.service(), nowMillis);
    }
  }

  /** Notes that a call no longer runs where it was placed, or no longer waits. */
  public void requestEnded(
      RequestId key, DispatchOutcome outcome, int outputTokens, long nowMillis) {
    if (waiting.remove(key) != null) {
      return;
    }
    BackendState backend = backends.runningAt(key);
    if (backend == null) {
      return;
    }
    switch (outcome) {
      case DISPATCH_OUTCOME_MOVED -> moves.moved(key, backend);
      case DISPATCH_OUTCOME_MOVE_FAILED -> moves.moveFailed(key, backend);
      default -> closed(key, backend, outcome, outputTokens, nowMillis);
    }
    moves.moveAwayFrom(backend, nowMillis);
    serveQueue(backend.service(), nowMillis);
  }

  private void closed(
      RequestId key, BackendState backend, DispatchOutcome outcome, int tokens, long nowMillis) {
    backends.unplaced(key);
    RunningRequest call = backend.calls.remove(key);
    if (call == null) {
      return;
    }
    moves.dropCopy(call);
    if (call.moving) {
      moves.moveFailed(key, backend);
    }
    switch (outcome) {
      case DISPATCH_OUTCOME_ANSWERED -> {
        backends.answered(backend);
        forecast.answered(call, tokens, nowMillis);
      }
      case DISPATCH_OUTCOME_FAILED, DISPATCH_OUTCOME_UNREACHABLE ->
          backends.failed(backend, nowMillis);
      case DISPATCH_OUTCOME_REJECTED -> backend.rejected(nowMillis + FULL_MILLIS);
      default -> {}
    }
    backends.forgetIfGone(backend);
  }

  /** Takes in a call that another scheduler placed. */
  public void restoreRunning(
      RequestId key, PlacementRequest ask, String backendId, int outputTokens, long nowMillis) {
    BackendState backend = backends.get(backendId);
    if (backend == null) {
      return;
    }
    RunningRequest call = new RunningRequest(key, ask, forecast.outputTokens(ask), nowMillis);
    call.progressed(outputTokens);
    backends.placed(call, backend);
    moves.moveAwayFrom(backend, nowMillis);
  }

  /** Notes that a gateway is gone with all its calls. */
  public void removeGateway(String gateway, long nowMillis) {
    List<RequestId> keys = new ArrayList<>(waiting.keys());
    keys.addAll(backends.openKeys());
    keys.removeIf(key -> !key.gateway().equals(gateway));
    keys.forEach(
        key -> requestEnded(key, DispatchOutcome.DISPATCH_OUTCOME_CANCELLED, 0, nowMillis));
  }

  /** Turns away calls whose time to wait is up, and tries the others again. */
  public void tick(long nowMillis) {
    for (QueuedRequest call : waiting.due(nowMillis)) {
      waiting.remove(call.key());
      if (!placeLate(call.key(), call.ask(), nowMillis)) {
        double expected = expectedWaitMillis(call.ask(), Placing.NO_ROOM);
        refuseForRoom(call.key(), hasCandidates(call.ask(), nowMillis), expected);
      }
    }
    waiting.services().forEach(service -> serveQueue(service, nowMillis));
    for (BackendState backend : List.copyOf(backends.all())) {
      moves.moveAwayFrom(backend, nowMillis);
    }
  }

  // ---- placing ----------------------------------------------------------------------------------

  private void serveQueue(String service, long nowMillis) {
    NavigableSet<QueuedRequest> queue = waiting.of(service);
    QueuedRequest call = queue.isEmpty() ? null : queue.first();
    while (call != null) {
      Placing placing = place(call.key(), call.ask(), call.dueAtMillis() - nowMillis, nowMillis);
      if (placing == Placing.PLACED) {
        waiting.remove(call.key());
      } else if (placing == Placing.NO_ROOM) {
        // Those behind it would take the room that a large call waits for.
        return;
      }
      call = queue.higher(call);
    }
  }

  /** What came of the attempt to place a call. */
  private enum Placing {
    PLACED,
    /** No backend server has room. */
    NO_ROOM,
    /** There is room, but so much to read first that the call would be late. */
    NOT_IN_TIME
  }

  /** Places a call where it can be in time. */
  private Placing place(
      RequestId key, PlacementRequest ask, long targetLeftMillis, long nowMillis) {
    double share = CapacityRules.memoryShare(ask, mostUrgentPriority(ask.getService()));
    RunningRequest call = new RunningRequest(key, ask, forecast.outputTokens(ask), nowMillis);
    List<BackendState> withRoom = withRoom(call, share, nowMillis).toList();
    BackendState best =
        cheapest(
            withRoom.stream().filter(backend -> isInTime(backend, ask, targetLeftMillis)),
            ask,
            nowMillis);
    if (best != null) {
      run(call, best, nowMillis);
      return Placing.PLACED;
    }
    return withRoom.isEmpty() ? Placing.NO_ROOM : Placing.NOT_IN_TIME;
  }

  private boolean isInTime(BackendState backend, PlacementRequest ask, long targetLeftMillis) {
    int tokensAhead = backend.unreadTokens() + ask.getPromptTokens();
    return !ask.getEngine() || forecast.firstReplyMillis(ask, tokensAhead) <= targetLeftMillis;
  }

  /** Places a call that cannot be in time any more, where that takes no room from others. */
  private boolean placeLate(RequestId key, PlacementRequest ask, long nowMillis) {
    RunningRequest call = new RunningRequest(key, ask, forecast.outputTokens(ask), nowMillis);
    boolean othersWait = !waiting.of(ask.getService()).isEmpty();
    double share =
        othersWait
            ? CapacityRules.LATE_MEMORY_SHARE
            : CapacityRules.memoryShare(ask, mostUrgentPriority(ask.getService()));
    Stream<BackendState> withRoom = withRoom(call, share, nowMillis);
    BackendState best = cheapest(withRoom, ask, nowMillis);
    if (best != null) {
      run(call, best, nowMillis);
    }
    return best != null;
  }

  private Stream<BackendState> withRoom(RunningRequest call, double share, long nowMillis) {
    EngineCapabilities engine = backends.engineOf(call.ask.getService());
    double tokens = call.memoryTokens();
    return backends
        .usable(call.ask, nowMillis)
        .filter(backend -> rooms.hasRoom(backend, engine, tokens, share, nowMillis));
  }

  private @Nullable BackendState cheapest(
      Stream<BackendState> among, PlacementRequest ask, long nowMillis) {
    EngineCapabilities engine = backends.engineOf(ask.getService());
    return Backends.cheapest(among, backend -> cost(backend, engine, ask, nowMillis));
  }

  private void run(RunningRequest call, BackendState best, long nowMillis) {
    call.tokensAhead = best.unreadTokens() + call.ask.getPromptTokens();
    backends.placed(call, best);
    best.parts.read(call.ask.getPartsList());
    moves.keepCopy(best, call, nowMillis);
    int urgency = Math.min(MAX_URGENCY, call.ask.getPriority());
    decisions.add(new DispatchDecision.Place(call.key, best.id(), urgency, call.backup));
  }

  private boolean hasCandidates(PlacementRequest ask, long nowMillis) {
    return backends.usable(ask, nowMillis).findAny().isPresent();
  }

  private int mostUrgentPriority(String service) {
    int most = Integer.MAX_VALUE;
    for (BackendState backend : backends.all()) {
      if (backend.serves(service)) {
        for (RunningRequest call : backend.calls.values()) {
          most = Math.min(most, call.ask.getPriority());
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
    double cold = backend.isCold(nowMillis) ? COLD_WEIGHT_TOKENS : 0;
    if (engine == null) {
      double load = (double) backend.calls.size() / backend.slots();
      return load * MEMORY_WEIGHT_TOKENS + far * FAR_WEIGHT_TOKENS + cold + random.nextDouble();
    }
    double memory = backend.memoryTokens() / Math.max(1, engine.memoryTokens());
    double chance = rooms.capacityShares() > 1 ? ALONE_SPREAD_TOKENS * random.nextDouble() : 0;
    return backend.unreadTokens()
        + chance
        + memory * MEMORY_WEIGHT_TOKENS
        + far * FAR_WEIGHT_TOKENS
        + cold
        - backend.parts.cachedTokens(ask.getPartsList());
  }

  // ---- turning away -----------------------------------------------------------------------------

  private void refuseForRoom(RequestId key, boolean served, double expectedMillis) {
    refuse(
        key,
        forecast.retryAfterMillis(expectedMillis),
        served ? RejectionReason.NO_ROOM_IN_TIME : RejectionReason.NO_BACKEND);
  }

  private void refuse(RequestId key, long retryAfterMillis, RejectionReason reason) {
    decisions.add(new DispatchDecision.Reject(key, retryAfterMillis, reason));
  }
}
