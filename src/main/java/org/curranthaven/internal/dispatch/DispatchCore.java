package org.curranthaven.internal.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.EngineSpec;
import org.curranthaven.internal.catalog.ServiceSpec;
import org.curranthaven.internal.routing.OutlierEjector;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.DispatchAsk;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Places routed calls on backend servers. It owns no clock, thread or socket: events go in, and
 * {@link #takeDecisions} tells what to do.
 *
 * <pre>{@code
 * core.backendChanged(registration, now);
 * core.ask(key, ask, now);
 * core.takeDecisions().forEach(this::carryOut);
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class DispatchCore {
  /** Share of an engine's memory that forecasts may fill for the most urgent calls. */
  private static final double MEMORY_SHARE = 0.95;

  /** The same share for less urgent calls, so that an urgent one finds room. */
  private static final double LESS_URGENT_MEMORY_SHARE = 0.88;

  /** Calls a plain backend server is given for each slot: a short queue keeps it busy. */
  private static final double PLAIN_CALLS_PER_SLOT = 1.5;

  /** Time that an engine takes for one output token, until a catalog or a run tells better. */
  private static final double TOKEN_MILLIS = 10;

  /** Time that an engine takes to read one prompt token between other calls' steps. */
  private static final double READ_MILLIS_PER_TOKEN = 0.16;

  /** Time that a plain call takes until runs have told better. */
  private static final double FIRST_PLAIN_MILLIS = 100;

  private static final double PLAIN_MILLIS_WEIGHT = 0.05;

  /** Weight of a full memory against prompt tokens that wait to be read. */
  private static final double MEMORY_WEIGHT_TOKENS = 2_500;

  /** Weight of a start that is still slow, in prompt tokens. */
  private static final double COLD_WEIGHT_TOKENS = 4_000;

  /** Weight of another data centre, in prompt tokens. */
  private static final double FAR_WEIGHT_TOKENS = 30;

  /** Time for which a backend server that turned a call away gets none. */
  private static final long FULL_MILLIS = 150;

  /** Time after its target at which a waiting call is turned away. */
  private static final long LATE_WAIT_MILLIS = 300;

  /** Time for which calls wait for a service whose backend servers are not known yet. */
  private static final long UNKNOWN_SERVICE_WAIT_MILLIS = 1_000;

  /** Output still to come below which a call on a leaving backend server is not moved, in ms. */
  private static final double MIN_MOVE_REST_MILLIS = 1_000;

  /** Cost of a move to another data centre, which takes twice as long, in shares of a memory. */
  private static final double FAR_MOVE_COST = 0.35;

  /** Cost of a move to an engine whose link another move fills, in shares of a memory. */
  private static final double BUSY_LINK_COST = 0.7;

  private static final int MAX_MOVE_ATTEMPTS = 3;
  private static final long MIN_RETRY_AFTER_MILLIS = 200;
  private static final long MAX_RETRY_AFTER_MILLIS = 15_000;

  /** Share of an engine's memory that copies of calls on other engines may fill it to. */
  private static final double BACKUP_MEMORY_SHARE = 0.5;

  private static final int MAX_URGENCY = 9;
  private static final int MAX_WAITING = 20_000;

  private final RetryAllowance retryAllowance;
  private final int capacityShares;
  private final RandomGenerator random;
  private final Map<String, BackendState> backends = new LinkedHashMap<>();
  private final Map<CallKey, BackendState> placements = new HashMap<>();
  private final Map<String, SortedSet<WaitingCall>> queues = new HashMap<>();
  private final Map<CallKey, WaitingCall> waiting = new HashMap<>();
  private final Map<String, RetryWindow> retries = new HashMap<>();
  private final Map<String, RouteLengths> lengths = new HashMap<>();
  private final Map<String, Double> plainMillis = new HashMap<>();
  private final OutlierEjector ejector = new OutlierEjector();
  private final FailureRates failureRates = new FailureRates();
  private Catalog catalog = Catalog.empty();
  private List<DispatchDecision> decisions = new ArrayList<>();
  private long nextOrder;

  /**
   * Creates a core.
   *
   * @param capacityShares number of hosts that decide alone on the same backend servers; 1 for the
   *     one scheduler
   */
  public DispatchCore(RetryAllowance retryAllowance, int capacityShares, RandomGenerator random) {
    this.retryAllowance = retryAllowance.sharedBy(capacityShares);
    this.capacityShares = Math.max(1, capacityShares);
    this.random = random;
  }

  /** Returns and forgets what was decided since the last call, in order. */
  public List<DispatchDecision> takeDecisions() {
    if (decisions.isEmpty()) {
      return List.of();
    }
    List<DispatchDecision> taken = decisions;
    decisions = new ArrayList<>();
    return taken;
  }

  /** Returns the number of calls that wait. */
  public int waitingCalls() {
    return waiting.size();
  }

  /** Returns the number of calls that run. */
  public int openCalls() {
    return placements.size();
  }

  // ---- backend servers --------------------------------------------------------------------------

  /** Puts a catalog into force. */
  public void setCatalog(Catalog newer) {
    catalog = newer;
  }

  /** Notes a new backend server, or news of one. */
  public void backendChanged(BackendRecord registration, long nowMillis) {
    BackendState known = backends.get(registration.getId());
    if (known == null) {
      backends.put(registration.getId(), new BackendState(registration, nowMillis));
    } else {
      known.registered(registration, nowMillis);
    }
    if (registration.getLeaving()) {
      moveCallsAway(registration.getId(), nowMillis);
    }
    serveQueue(registration.getService(), nowMillis);
  }

  /** Notes that a backend server takes no more calls; those that run on it may go on. */
  public void backendGone(String id, long nowMillis) {
    BackendState state = backends.get(id);
    if (state == null) {
      return;
    }
    BackendRecord leaving = state.registration().toBuilder().setLeaving(true).build();
    state.registered(leaving, nowMillis);
    moveCallsAway(id, nowMillis);
    forgetIfGone(state);
  }

  private void forgetIfGone(BackendState state) {
    if (state.registration().getLeaving() && state.calls.isEmpty()) {
      backends.remove(state.id());
      ejector.forget(state.id());
      failureRates.forget(state.id());
    }
  }

  /**
   * Moves calls away from a leaving engine, one after the other: copies share its link, and one
   * that is whole saves a call, while several that are half made save none. The smallest go first.
   */
  private void moveCallsAway(String id, long nowMillis) {
    BackendState source = backends.get(id);
    EngineSpec engine = source == null ? null : engineOf(source.registration().getService());
    if (source == null || engine == null || !engine.moves()) {
      return;
    }
    if (source.calls.values().stream().anyMatch(call -> call.moving)) {
      return;
    }
    List<OpenCall> smallestFirst =
        source.calls.values().stream()
            .filter(DispatchCore::isWorthMoving)
            .sorted(Comparator.comparingDouble(OpenCall::memoryTokens))
            .toList();
    for (OpenCall call : smallestFirst) {
      if (moveAway(source, call, engine, nowMillis)) {
        return;
      }
    }
  }

  private static boolean isWorthMoving(OpenCall call) {
    boolean endsSoon = call.remainingTokens() * TOKEN_MILLIS < MIN_MOVE_REST_MILLIS;
    return call.outputTokens() > 0 && !endsSoon && call.moveAttempts < MAX_MOVE_ATTEMPTS;
  }

  /**
   * Orders the move of a call to the engine to which it takes the least; returns whether it did.
   */
  private boolean moveAway(BackendState source, OpenCall call, EngineSpec engine, long nowMillis) {
    BackendState target = null;
    double leastCost = Double.POSITIVE_INFINITY;
    for (BackendState other : backends.values()) {
      boolean able = other != source && isUsable(other, call.ask, nowMillis);
      if (able && hasRoom(other, engine, call.memoryTokens(), MEMORY_SHARE, nowMillis)) {
        double cost = moveCost(source, other, engine);
        target = cost < leastCost ? other : target;
        leastCost = Math.min(cost, leastCost);
      }
    }
    if (target == null) {
      return false;
    }
    call.moving = true;
    call.moveAttempts++;
    // Counted at the target from now on, and at the source until the move has ended.
    OpenCall copy = new OpenCall(call.key, call.ask, call.remainingTokens(), nowMillis);
    copy.progressed(call.outputTokens());
    copy.arriving = true;
    target.calls.put(call.key, copy);
    chooseBackup(target, copy, engine, nowMillis);
    decisions.add(new DispatchDecision.MoveTo(call.key, target.id(), copy.backup));
    return true;
  }

  private static double moveCost(BackendState source, BackendState target, EngineSpec engine) {
    boolean near =
        source.registration().getDataCentre().equals(target.registration().getDataCentre());
    double memory = target.memoryTokens() / Math.max(1, engine.memoryTokens());
    long arriving = target.calls.values().stream().filter(call -> call.arriving).count();
    return memory + (near ? 0 : FAR_MOVE_COST) + arriving * BUSY_LINK_COST;
  }

  // ---- calls ------------------------------------------------------------------------------------

  /** Takes in a call that is to be placed. */
  public void ask(CallKey key, DispatchAsk ask, long nowMillis) {
    ended(key, DispatchOutcome.DISPATCH_OUTCOME_CANCELLED, 0, nowMillis);
    RetryWindow window =
        retries.computeIfAbsent(ask.getService(), name -> new RetryWindow(retryAllowance));
    if (!ask.getRepeat()) {
      window.called(nowMillis);
    } else if (!window.tryRetry(nowMillis)) {
      refuse(key, MIN_RETRY_AFTER_MILLIS, RefusalReason.RETRIES_USED_UP);
      return;
    }
    SortedSet<WaitingCall> queue = queueOf(ask.getService());
    boolean overtakes = queue.isEmpty() || ask.getPriority() < queue.first().ask().getPriority();
    if (overtakes && place(key, ask, nowMillis)) {
      return;
    }
    waitOrRefuse(key, ask, queue, nowMillis);
  }

  private void waitOrRefuse(
      CallKey key, DispatchAsk ask, SortedSet<WaitingCall> queue, long nowMillis) {
    long targetLeft = Math.min(ask.getTargetLeftMillis(), ask.getDeadlineLeftMillis());
    boolean served = hasCandidates(ask, nowMillis);
    if (!served && ask.getExcludedCount() > 0) {
      refuse(key, MIN_RETRY_AFTER_MILLIS, RefusalReason.ALL_TRIED);
      return;
    }
    double expected = served ? expectedWaitMillis(ask, queue) : UNKNOWN_SERVICE_WAIT_MILLIS;
    long readMillis = ask.getEngine() ? readMillis(ask) : 0;
    boolean inTime = served ? expected + readMillis <= targetLeft : targetLeft > expected;
    if (!inTime || waiting.size() >= MAX_WAITING) {
      refuse(
          key, spread(expected), served ? RefusalReason.NO_ROOM_IN_TIME : RefusalReason.NO_BACKEND);
      return;
    }
    long wait = served ? targetLeft - readMillis + LATE_WAIT_MILLIS : UNKNOWN_SERVICE_WAIT_MILLIS;
    long giveUp = nowMillis + Math.min(wait, ask.getDeadlineLeftMillis());
    WaitingCall call =
        new WaitingCall(key, ask, nextOrder++, nowMillis + ask.getTargetLeftMillis(), giveUp);
    queue.add(call);
    waiting.put(key, call);
  }

  /** Notes how far a call's output has come. */
  public void progressed(CallKey key, int outputTokens, long nowMillis) {
    BackendState backend = placements.get(key);
    OpenCall call = backend == null ? null : backend.calls.get(key);
    if (backend == null || call == null) {
      return;
    }
    boolean first = call.outputTokens() == 0 && outputTokens > 0;
    call.progressed(outputTokens);
    if (first) {
      ejector.succeeded(backend.id());
      if (backend.registration().getLeaving()) {
        moveCallsAway(backend.id(), nowMillis);
      }
    }
  }

  /** Notes that a call no longer runs where it was placed, or no longer waits. */
  public void ended(CallKey key, DispatchOutcome outcome, int outputTokens, long nowMillis) {
    WaitingCall waited = waiting.remove(key);
    if (waited != null) {
      queueOf(waited.ask().getService()).remove(waited);
      return;
    }
    BackendState backend = placements.get(key);
    if (backend == null) {
      return;
    }
    switch (outcome) {
      case DISPATCH_OUTCOME_MOVED -> moved(key, backend);
      case DISPATCH_OUTCOME_MOVE_FAILED -> moveFailed(key, backend);
      default -> closed(key, backend, outcome, outputTokens, nowMillis);
    }
    if (backend.registration().getLeaving()) {
      moveCallsAway(backend.id(), nowMillis);
    }
    serveQueue(backend.registration().getService(), nowMillis);
  }

  private void moved(CallKey key, BackendState source) {
    OpenCall call = source.calls.remove(key);
    forgetIfGone(source);
    BackendState keeper = call == null ? null : backends.get(call.backup);
    if (call != null) {
      dropBackup(call);
    }
    if (call != null && !call.moving && keeper != null) {
      keeper.calls.put(key, call);
    }
    for (BackendState target : backends.values()) {
      OpenCall arrived = target.calls.get(key);
      if (arrived != null) {
        arrived.arriving = false;
        placements.put(key, target);
        return;
      }
    }
    placements.remove(key);
  }

  private void moveFailed(CallKey key, BackendState source) {
    OpenCall call = source.calls.get(key);
    if (call != null) {
      call.moving = false;
    }
    for (BackendState other : backends.values()) {
      OpenCall copy = other == source ? null : other.calls.remove(key);
      if (copy != null) {
        dropBackup(copy);
      }
    }
  }

  private void closed(
      CallKey key, BackendState backend, DispatchOutcome outcome, int tokens, long nowMillis) {
    placements.remove(key);
    OpenCall call = backend.calls.remove(key);
    if (call == null) {
      return;
    }
    dropBackup(call);
    if (call.moving) {
      moveFailed(key, backend);
    }
    switch (outcome) {
      case DISPATCH_OUTCOME_ANSWERED -> answered(call, backend, tokens, nowMillis);
      case DISPATCH_OUTCOME_FAILED, DISPATCH_OUTCOME_UNREACHABLE -> {
        List<String> peers = peersOf(backend);
        ejector.failed(backend.id(), peers, nowMillis);
        failureRates.failed(backend.id(), peers, nowMillis);
      }
      case DISPATCH_OUTCOME_REJECTED -> backend.rejected(nowMillis + FULL_MILLIS);
      default -> {}
    }
    forgetIfGone(backend);
  }

  private void answered(OpenCall call, BackendState backend, int tokens, long nowMillis) {
    ejector.succeeded(backend.id());
    failureRates.succeeded(backend.id());
    if (call.ask.getEngine()) {
      lengthsOf(call.ask).finished(tokens);
    } else {
      double took = nowMillis - call.placedAtMillis;
      plainMillis.merge(
          call.ask.getService(), took, (old, now) -> old + PLAIN_MILLIS_WEIGHT * (now - old));
    }
  }

  /** Takes in a call that another scheduler placed. */
  public void restore(
      CallKey key, DispatchAsk ask, String backendId, int outputTokens, long nowMillis) {
    BackendState backend = backends.get(backendId);
    if (backend == null) {
      return;
    }
    OpenCall call = new OpenCall(key, ask, lengthsOf(ask).forecast(ask), nowMillis);
    call.progressed(outputTokens);
    backend.calls.put(key, call);
    placements.put(key, backend);
    if (backend.registration().getLeaving()) {
      moveCallsAway(backendId, nowMillis);
    }
  }

  /** Notes that a gateway is gone with all its calls. */
  public void gatewayGone(String gateway, long nowMillis) {
    List<CallKey> keys = new ArrayList<>();
    waiting.keySet().stream().filter(key -> key.gateway().equals(gateway)).forEach(keys::add);
    placements.keySet().stream().filter(key -> key.gateway().equals(gateway)).forEach(keys::add);
    keys.forEach(key -> ended(key, DispatchOutcome.DISPATCH_OUTCOME_CANCELLED, 0, nowMillis));
  }

  /** Turns away calls whose time to wait is up, and tries the others again. */
  public void tick(long nowMillis) {
    for (WaitingCall call : List.copyOf(waiting.values())) {
      if (nowMillis >= call.giveUpAtMillis()) {
        waiting.remove(call.key());
        SortedSet<WaitingCall> queue = queueOf(call.ask().getService());
        queue.remove(call);
        boolean served = hasCandidates(call.ask(), nowMillis);
        refuse(
            call.key(),
            spread(expectedWaitMillis(call.ask(), queue)),
            served ? RefusalReason.NO_ROOM_IN_TIME : RefusalReason.NO_BACKEND);
      }
    }
    List.copyOf(queues.keySet()).forEach(service -> serveQueue(service, nowMillis));
    for (BackendState backend : List.copyOf(backends.values())) {
      if (backend.registration().getLeaving()) {
        moveCallsAway(backend.id(), nowMillis);
      }
    }
  }

  // ---- placing ----------------------------------------------------------------------------------

  private void serveQueue(String service, long nowMillis) {
    SortedSet<WaitingCall> queue = queues.get(service);
    while (queue != null && !queue.isEmpty()) {
      WaitingCall first = queue.first();
      if (!place(first.key(), agedBy(first, nowMillis), nowMillis)) {
        return;
      }
      queue.remove(first);
      waiting.remove(first.key());
    }
  }

  private static DispatchAsk agedBy(WaitingCall call, long nowMillis) {
    return call.ask().toBuilder().setTargetLeftMillis(call.dueAtMillis() - nowMillis).build();
  }

  private boolean place(CallKey key, DispatchAsk ask, long nowMillis) {
    EngineSpec engine = engineOf(ask.getService());
    BackendState best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    for (BackendState backend : backends.values()) {
      if (!isUsable(backend, ask, nowMillis) || !hasRoomFor(backend, engine, ask, nowMillis)) {
        continue;
      }
      double cost = cost(backend, engine, ask, nowMillis);
      if (cost < bestCost) {
        best = backend;
        bestCost = cost;
      }
    }
    if (best == null) {
      return false;
    }
    OpenCall call = new OpenCall(key, ask, lengthsOf(ask).forecast(ask), nowMillis);
    best.calls.put(key, call);
    best.parts.read(ask.getPartsList());
    placements.put(key, best);
    chooseBackup(best, call, engine, nowMillis);
    int urgency = Math.min(MAX_URGENCY, ask.getPriority());
    decisions.add(new DispatchDecision.Place(key, best.id(), urgency, call.backup));
    return true;
  }

  /** Has a copy of an irreplaceable call kept where memory is left over. */
  private void chooseBackup(
      BackendState runsAt, OpenCall call, @Nullable EngineSpec engine, long nowMillis) {
    if (engine == null || !engine.backups() || !call.ask.getIrreplaceable()) {
      return;
    }
    BackendState keeper = null;
    double leastCost = Double.POSITIVE_INFINITY;
    for (BackendState other : backends.values()) {
      boolean able = other != runsAt && isUsable(other, call.ask, nowMillis);
      if (able && hasRoom(other, engine, call.memoryTokens(), BACKUP_MEMORY_SHARE, nowMillis)) {
        double cost = moveCost(runsAt, other, engine);
        keeper = cost < leastCost ? other : keeper;
        leastCost = Math.min(cost, leastCost);
      }
    }
    if (keeper != null) {
      call.backup = keeper.id();
      keeper.copies.put(call.key, call);
    }
  }

  private void dropBackup(OpenCall call) {
    BackendState keeper = backends.get(call.backup);
    call.backup = "";
    if (keeper != null) {
      keeper.copies.remove(call.key, call);
    }
  }

  private boolean isUsable(BackendState backend, DispatchAsk ask, long nowMillis) {
    BackendRecord registration = backend.registration();
    return registration.getService().equals(ask.getService())
        && !registration.getLeaving()
        && !ask.getExcludedList().contains(registration.getId())
        && !ejector.isEjected(registration.getId(), nowMillis)
        && !failureRates.isOut(registration.getId(), nowMillis);
  }

  private boolean hasCandidates(DispatchAsk ask, long nowMillis) {
    return backends.values().stream().anyMatch(backend -> isUsable(backend, ask, nowMillis));
  }

  private boolean hasRoomFor(
      BackendState backend, @Nullable EngineSpec engine, DispatchAsk ask, long nowMillis) {
    if (backend.saysFull(nowMillis)) {
      return false;
    }
    if (engine == null) {
      double most = backend.slots() * PLAIN_CALLS_PER_SLOT / capacityShares;
      return backend.calls.size() < Math.max(1, most);
    }
    OpenCall forecast = new OpenCall(new CallKey("", 0), ask, lengthsOf(ask).forecast(ask), 0);
    boolean mostUrgent = ask.getPriority() <= mostUrgentPriority(ask.getService());
    double share = mostUrgent ? MEMORY_SHARE : LESS_URGENT_MEMORY_SHARE;
    return hasRoom(backend, engine, forecast.memoryTokens(), share, nowMillis);
  }

  private boolean hasRoom(
      BackendState backend, EngineSpec engine, double tokens, double share, long nowMillis) {
    if (backend.saysFull(nowMillis)) {
      return false;
    }
    int slots = Math.max(1, engine.slots() / capacityShares);
    double memory = share * engine.memoryTokens() / capacityShares;
    boolean fits = backend.memoryTokens() + tokens <= memory;
    boolean alone = backend.calls.isEmpty() && tokens <= engine.memoryTokens();
    return backend.calls.size() < slots && (fits || alone);
  }

  private int mostUrgentPriority(String service) {
    int most = Integer.MAX_VALUE;
    for (BackendState backend : backends.values()) {
      if (backend.registration().getService().equals(service)) {
        for (OpenCall call : backend.calls.values()) {
          most = Math.min(most, call.ask.getPriority());
        }
      }
    }
    return most;
  }

  private double cost(
      BackendState backend, @Nullable EngineSpec engine, DispatchAsk ask, long nowMillis) {
    double far = ask.getDataCentre().equals(backend.registration().getDataCentre()) ? 0 : 1;
    double cold = backend.isCold(nowMillis) ? COLD_WEIGHT_TOKENS : 0;
    if (engine == null) {
      double load = (double) backend.calls.size() / backend.slots();
      return load * MEMORY_WEIGHT_TOKENS + far * FAR_WEIGHT_TOKENS + cold + random.nextDouble();
    }
    double memory = backend.memoryTokens() / Math.max(1, engine.memoryTokens());
    return backend.unreadTokens()
        + memory * MEMORY_WEIGHT_TOKENS
        + far * FAR_WEIGHT_TOKENS
        + cold
        - backend.parts.cachedTokens(ask.getPartsList());
  }

  // ---- turning away -----------------------------------------------------------------------------

  private void refuse(CallKey key, long retryAfterMillis, RefusalReason reason) {
    decisions.add(new DispatchDecision.Refuse(key, retryAfterMillis, reason));
  }

  /** Returns when to come back, spread so that those turned away together do not return so. */
  private long spread(double expectedMillis) {
    double spread = expectedMillis * (1 + 0.3 * random.nextDouble());
    return Math.clamp((long) spread, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
  }

  private static long readMillis(DispatchAsk ask) {
    return (long) (ask.getPromptTokens() * READ_MILLIS_PER_TOKEN);
  }

  /** Returns the time until room is expected for a call behind those that wait. */
  private double expectedWaitMillis(DispatchAsk ask, Collection<WaitingCall> queue) {
    return ask.getEngine() ? engineWaitMillis(ask, queue) : plainWaitMillis(ask, queue);
  }

  private double plainWaitMillis(DispatchAsk ask, Collection<WaitingCall> queue) {
    int slots = 0;
    for (BackendState backend : backends.values()) {
      if (backend.registration().getService().equals(ask.getService())
          && !backend.registration().getLeaving()) {
        slots += backend.slots();
      }
    }
    double each = plainMillis.getOrDefault(ask.getService(), FIRST_PLAIN_MILLIS);
    return slots == 0
        ? UNKNOWN_SERVICE_WAIT_MILLIS
        : (queue.size() + 1) * each * capacityShares / slots;
  }

  private double engineWaitMillis(DispatchAsk ask, Collection<WaitingCall> queue) {
    double needed = needOf(ask);
    for (WaitingCall ahead : queue) {
      if (ahead.ask().getPriority() <= ask.getPriority()) {
        needed += needOf(ahead.ask());
      }
    }
    List<double[]> releases = new ArrayList<>();
    for (BackendState backend : backends.values()) {
      if (backend.registration().getService().equals(ask.getService())
          && !backend.registration().getLeaving()) {
        for (OpenCall call : backend.calls.values()) {
          double rest =
              call.remainingTokens() * TOKEN_MILLIS + call.unreadTokens() * READ_MILLIS_PER_TOKEN;
          releases.add(new double[] {rest, call.memoryTokens()});
        }
      }
    }
    releases.sort((a, b) -> Double.compare(a[0], b[0]));
    double freed = 0;
    for (double[] release : releases) {
      freed += release[1];
      if (freed >= needed) {
        return release[0];
      }
    }
    return releases.isEmpty() ? UNKNOWN_SERVICE_WAIT_MILLIS : releases.getLast()[0];
  }

  private double needOf(DispatchAsk ask) {
    return ask.getPromptTokens() + lengthsOf(ask).forecast(ask);
  }

  // ---- look-ups ---------------------------------------------------------------------------------

  private SortedSet<WaitingCall> queueOf(String service) {
    return queues.computeIfAbsent(service, name -> new TreeSet<>(WaitingCall.BY_RANK));
  }

  private RouteLengths lengthsOf(DispatchAsk ask) {
    return lengths.computeIfAbsent(ask.getRoute(), name -> new RouteLengths());
  }

  private @Nullable EngineSpec engineOf(String service) {
    ServiceSpec spec = catalog.service(service);
    return spec == null ? null : spec.engine();
  }

  private List<String> peersOf(BackendState backend) {
    String service = backend.registration().getService();
    return backends.values().stream()
        .filter(other -> other.registration().getService().equals(service))
        .map(BackendState::id)
        .toList();
  }
}
