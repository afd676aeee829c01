package org.curranthaven.internal.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.curranthaven.api.ServiceClass;
import org.curranthaven.internal.routing.BackendReport;
import org.curranthaven.internal.routing.OutputLengths;
import org.curranthaven.internal.routing.Policy;
import org.curranthaven.internal.routing.RequestAttributes;
import org.curranthaven.internal.routing.RoutingCore;
import org.curranthaven.internal.routing.RoutingDecision;
import org.curranthaven.internal.routing.RoutingEvent;
import org.curranthaven.internal.standin.EngineEvent;
import org.curranthaven.internal.standin.EngineModel;
import org.curranthaven.internal.standin.Workloads;
import org.jspecify.annotations.Nullable;

/**
 * Runs one policy on one scenario: several hosts' routing cores choose among stand-in engines, on
 * reports that come with a lag, and hear of each other's open requests with a lag.
 */
final class PolicySimulation {
  /** Hosts that choose independently: the users' 8 entry hosts. */
  static final int HOST_COUNT = 8;

  private static final long STEP_MILLIS = 2;
  private static final long REPORT_INTERVAL_MILLIS = 500;
  private static final long REPORT_DELAY_MILLIS = 150;
  private static final long SHARE_UPDATE_INTERVAL_MILLIS = 50;
  private static final long TICK_INTERVAL_MILLIS = 20;
  private static final long CACHE_EVENT_DELAY_MILLIS = 400;
  private static final long LOSS_DETECTION_DELAY_MILLIS = 1_000;
  private static final long RECLAIM_NOTICE_MILLIS = 2_000;
  private static final long MAX_DURATION_MILLIS = 240_000;
  private static final int MICROS_PER_MILLI = 1_000;

  private final Scenario scenario;
  private final boolean immediateState;
  private final SplittableRandom random;
  private final List<RoutingCore> cores = new ArrayList<>();
  private final long[] clockOffsetMillis = new long[HOST_COUNT];
  private final Map<String, SimulatedEngine> engineByName = new HashMap<>();
  private final List<SimulatedEngine> engines = new ArrayList<>();
  private final Map<Long, SimulatedRequest> requestsById = new HashMap<>();
  private final Map<String, SimulatedRequest> requestByGeneration = new HashMap<>();
  private final Map<String, ServiceClass> classByName = new HashMap<>();
  private final PriorityQueue<ScheduledAction> scheduledActions =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledAction::atMillis)
              .thenComparing(ScheduledAction::order));
  private final SimulationResult result = new SimulationResult();
  private long nowMillis;
  private long nextActionOrder;
  private long nextRequestId = 1;
  private int openRequests;

  private record ScheduledAction(long atMillis, long order, Runnable action) {}

  private static final class SimulatedEngine {
    final String name;
    final EngineModel model;
    boolean alive = true;
    boolean ready = true;
    @Nullable BackendReport frozenReport;
    Set<Long> cachedPrefixes = Set.of();

    SimulatedEngine(String name, EngineModel model) {
      this.name = name;
      this.model = model;
    }
  }

  private static final class SimulatedRequest {
    final Scenario.Arrival arrival;
    final ServiceClass serviceClass;
    final int host;
    long id;
    String generation = "";
    String engine = "";
    int producedTokens;
    long lastTokenMillis;
    boolean firstReplyOnTime;
    final Set<String> excludedEngines = new HashSet<>();

    SimulatedRequest(Scenario.Arrival arrival, ServiceClass serviceClass, int host) {
      this.arrival = arrival;
      this.serviceClass = serviceClass;
      this.host = host;
    }
  }

  private PolicySimulation(Scenario scenario, Policy policy, long seed) {
    this.scenario = scenario;
    this.random = new SplittableRandom(seed);
    this.immediateState = policy instanceof Policy.Forecast forecast && forecast.options().oracle();
    Workloads.serviceClasses().forEach(c -> classByName.put(c.name(), c));
    for (int i = 0; i < HOST_COUNT; i++) {
      clockOffsetMillis[i] = random.nextInt(1_000_000);
      cores.add(new RoutingCore("host-" + i, policy, random.split(), this::actualLength));
    }
    for (int i = 0; i < scenario.engineCount(); i++) {
      SimulatedEngine engine =
          new SimulatedEngine("engine-" + i, new EngineModel(scenario.engineOptions(i)));
      engineByName.put(engine.name, engine);
      engines.add(engine);
    }
  }

  /** Runs the policy on the scenario's arrivals of the seed. */
  static SimulationResult run(Scenario scenario, Policy policy, long seed) {
    return new PolicySimulation(scenario, policy, seed).run(scenario.arrivals(seed));
  }

  private OutputLengths actualLength(long requestId) {
    SimulatedRequest call = requestsById.get(requestId);
    return new OutputLengths.Known(
        call == null ? 1 : call.arrival.outputTokens() - call.producedTokens);
  }

  private SimulationResult run(List<Scenario.Arrival> arrivals) {
    ArrayDeque<Scenario.Arrival> left = new ArrayDeque<>(arrivals);
    result.arrivalDurationMillis = Scenario.ARRIVAL_DURATION_MILLIS;
    scheduleFaults();
    while (nowMillis < MAX_DURATION_MILLIS && (openRequests > 0 || !left.isEmpty())) {
      while (!left.isEmpty() && left.getFirst().atMillis() <= nowMillis) {
        handleArrival(left.removeFirst());
      }
      while (!scheduledActions.isEmpty() && scheduledActions.peek().atMillis() <= nowMillis) {
        scheduledActions.remove().action().run();
      }
      for (SimulatedEngine engine : engines) {
        if (engine.alive) {
          engine.model.advance(nowMillis * MICROS_PER_MILLI).forEach(this::handleEngineEvent);
        }
      }
      exchangeState();
      nowMillis += STEP_MILLIS;
    }
    recordUnfinishedRequests();
    return result;
  }

  private void exchangeState() {
    if (nowMillis % TICK_INTERVAL_MILLIS == 0) {
      for (int host = 0; host < HOST_COUNT; host++) {
        handle(host, new RoutingEvent.Tick());
      }
    }
    long reportPeriod = immediateState ? TICK_INTERVAL_MILLIS : REPORT_INTERVAL_MILLIS;
    if (nowMillis % reportPeriod == 0) {
      engines.forEach(this::sendReport);
    }
    long sharePeriod = immediateState ? TICK_INTERVAL_MILLIS : SHARE_UPDATE_INTERVAL_MILLIS;
    if (nowMillis % sharePeriod == 0) {
      exchangeShareUpdates();
    }
  }

  private void exchangeShareUpdates() {
    for (int from = 0; from < HOST_COUNT; from++) {
      RoutingEvent shares =
          new RoutingEvent.SharesReported(
              "host-" + from, cores.get(from).nextShareUpdate(nowMillis + clockOffsetMillis[from]));
      for (int to = 0; to < HOST_COUNT; to++) {
        if (to != from) {
          handle(to, shares);
        }
      }
    }
  }

  private void schedule(long delayMillis, Runnable action) {
    scheduledActions.add(new ScheduledAction(nowMillis + delayMillis, nextActionOrder++, action));
  }

  // ---- engines ----------------------------------------------------------------------------------

  private void scheduleFaults() {
    SimulatedEngine first = engines.getFirst();
    switch (scenario.kind()) {
      case ENGINE_LOST ->
          schedule(
              Scenario.EVENT_START_MILLIS, () -> stopEngine(first, LOSS_DETECTION_DELAY_MILLIS));
      case RECLAIM ->
          schedule(
              Scenario.EVENT_START_MILLIS,
              () -> {
                first.ready = false;
                removeFromHosts(first);
                schedule(RECLAIM_NOTICE_MILLIS, () -> stopEngine(first, 0));
              });
      default -> {}
    }
  }

  private void removeFromHosts(SimulatedEngine engine) {
    for (int host = 0; host < HOST_COUNT; host++) {
      handle(host, new RoutingEvent.BackendRemoved(engine.name));
    }
  }

  private void stopEngine(SimulatedEngine engine, long noticedAfterMillis) {
    engine.alive = false;
    engine.ready = false;
    schedule(
        noticedAfterMillis,
        () -> {
          removeFromHosts(engine);
          List<SimulatedRequest> lost =
              requestByGeneration.values().stream()
                  .filter(call -> call.engine.equals(engine.name))
                  .sorted(Comparator.comparingLong(call -> call.id))
                  .toList();
          lost.forEach(call -> retryOnAnotherEngine(call, engine));
        });
  }

  /** Another engine takes the generation over from the tokens so far. */
  private void retryOnAnotherEngine(SimulatedRequest call, SimulatedEngine lost) {
    requestByGeneration.remove(call.generation);
    long before = call.id;
    handle(
        call.host,
        new RoutingEvent.Finished(before, call.producedTokens, RoutingEvent.RequestOutcome.FAILED));
    requestsById.remove(before);
    call.excludedEngines.add(lost.name);
    submitRequest(call);
  }

  private void sendReport(SimulatedEngine engine) {
    boolean frozen =
        scenario.kind() == Scenario.Kind.REPORTS_FROZEN && scenario.isDuringEvent(nowMillis);
    BackendReport current = engine.frozenReport;
    if (!frozen || current == null) {
      current =
          new BackendReport(
              engine.name,
              "a",
              Set.of(scenario.requestKinds().getFirst().target()),
              engine.model.blocksTotal(),
              engine.model.blocksUsed(),
              engine.model.runningCount(),
              engine.model.waitingCount(),
              64,
              nowMillis,
              Long.MIN_VALUE / 2);
    }
    engine.frozenReport = frozen ? current : null;
    BackendReport sent = current;
    schedule(
        immediateState || nowMillis == 0 ? 0 : REPORT_DELAY_MILLIS,
        () -> {
          if (engine.ready) {
            for (int host = 0; host < HOST_COUNT; host++) {
              handle(host, new RoutingEvent.BackendReported(sent));
            }
          }
        });
    sendCacheEvents(engine);
  }

  private void sendCacheEvents(SimulatedEngine engine) {
    Set<Long> cached = Set.copyOf(engine.model.cachedPrefixes());
    double lossShare = scenario.kind() == Scenario.Kind.CACHE_GAPS ? 0.5 : 0.05;
    List<RoutingEvent> events = new ArrayList<>();
    cached.stream()
        .sorted()
        .filter(prefix -> !engine.cachedPrefixes.contains(prefix))
        .forEach(prefix -> events.add(new RoutingEvent.PrefixCached(engine.name, prefix, true)));
    engine.cachedPrefixes.stream()
        .sorted()
        .filter(prefix -> !cached.contains(prefix))
        .forEach(prefix -> events.add(new RoutingEvent.PrefixCached(engine.name, prefix, false)));
    engine.cachedPrefixes = cached;
    for (RoutingEvent event : events) {
      if (random.nextDouble() >= lossShare) {
        schedule(
            CACHE_EVENT_DELAY_MILLIS,
            () -> {
              for (int host = 0; host < HOST_COUNT; host++) {
                handle(host, event);
              }
            });
      }
    }
  }

  private void handleEngineEvent(EngineEvent event) {
    switch (event) {
      case EngineEvent.Preempted preempted -> result.preemptions++;
      case EngineEvent.Token token -> {
        SimulatedRequest call = requestByGeneration.get(token.generation());
        if (call != null) {
          handleToken(call, token);
        }
      }
    }
  }

  private void handleToken(SimulatedRequest call, EngineEvent.Token token) {
    long atMillis = token.atMicros() / MICROS_PER_MILLI;
    if (atMillis < Scenario.ARRIVAL_DURATION_MILLIS) {
      result.tokensDuringArrivals++;
    }
    if (call.producedTokens == 0) {
      long firstReply = atMillis - call.arrival.atMillis();
      result.recordFirstReply(call.serviceClass.name(), firstReply);
      call.firstReplyOnTime = firstReply <= call.serviceClass.targets().firstReplyMillis();
    } else {
      result.recordTokenGap(
          atMillis - call.lastTokenMillis, call.serviceClass.targets().gapMillis());
    }
    call.producedTokens = token.index() + 1;
    call.lastTokenMillis = atMillis;
    if (token.last()) {
      completeRequest(call, atMillis);
    } else {
      handle(call.host, new RoutingEvent.Progressed(call.id, call.producedTokens));
    }
  }

  private void completeRequest(SimulatedRequest call, long atMillis) {
    requestByGeneration.remove(call.generation);
    handle(
        call.host,
        new RoutingEvent.Finished(
            call.id, call.producedTokens, RoutingEvent.RequestOutcome.COMPLETED));
    requestsById.remove(call.id);
    openRequests--;
    long answer = atMillis - call.arrival.atMillis();
    if (call.firstReplyOnTime && answer <= call.serviceClass.targets().answerMillis()) {
      result.requestsOnTarget++;
      result.onTargetByClass.merge(call.serviceClass.name(), 1L, Long::sum);
    }
  }

  // ---- requests ---------------------------------------------------------------------------------

  private void handleArrival(Scenario.Arrival arrival) {
    ServiceClass serviceClass = classByName.get(arrival.requestKind().className());
    if (serviceClass == null) {
      throw new IllegalArgumentException("no class " + arrival.requestKind().className());
    }
    result.requests++;
    openRequests++;
    submitRequest(new SimulatedRequest(arrival, serviceClass, random.nextInt(HOST_COUNT)));
  }

  private void submitRequest(SimulatedRequest call) {
    call.id = nextRequestId++;
    requestsById.put(call.id, call);
    handle(
        call.host,
        new RoutingEvent.Arrived(
            new RequestAttributes(
                call.id,
                call.arrival.workspace(),
                call.serviceClass.name(),
                call.serviceClass.targets(),
                call.arrival.requestKind().target(),
                call.arrival.requestKind().promptTokens() + call.producedTokens,
                8_192,
                call.arrival.prefixId(),
                call.producedTokens == 0 ? call.arrival.atMillis() : nowMillis,
                call.excludedEngines)));
  }

  private void handle(int host, RoutingEvent event) {
    long start = System.nanoTime();
    List<RoutingDecision> decisions =
        cores.get(host).handle(toHostClock(event, host), nowMillis + clockOffsetMillis[host]);
    result.eventHandlingNanos += System.nanoTime() - start;
    result.handledEvents++;
    for (RoutingDecision decision : decisions) {
      switch (decision) {
        case RoutingDecision.Dispatch dispatch -> dispatch(dispatch);
        case RoutingDecision.Shed shed -> shed(shed);
      }
    }
  }

  /** Returns the event with its times on the host's own clock. */
  private RoutingEvent toHostClock(RoutingEvent event, int host) {
    long offset = clockOffsetMillis[host];
    return switch (event) {
      case RoutingEvent.Arrived arrived -> {
        RequestAttributes request = arrived.request();
        yield new RoutingEvent.Arrived(
            request.withArrivedAtMillis(request.arrivedAtMillis() + offset));
      }
      case RoutingEvent.BackendReported reported -> {
        BackendReport report = reported.report();
        yield new RoutingEvent.BackendReported(
            report.withSentAtMillis(report.sentAtMillis() + offset));
      }
      default -> event;
    };
  }

  private void dispatch(RoutingDecision.Dispatch dispatch) {
    SimulatedRequest call = requestsById.get(dispatch.requestId());
    SimulatedEngine engine = engineByName.get(dispatch.server());
    if (call == null || engine == null) {
      return;
    }
    if (!engine.alive) {
      // The connection is refused; the request goes elsewhere.
      schedule(1, () -> retryOnAnotherEngine(call, engine));
      return;
    }
    call.generation = "g" + dispatch.requestId();
    call.engine = engine.name;
    requestByGeneration.put(call.generation, call);
    engine.model.submit(
        new EngineModel.EngineRequest(
            call.generation,
            call.arrival.requestKind().promptTokens(),
            call.arrival.outputTokens(),
            dispatch.priority(),
            call.arrival.prefixId(),
            call.producedTokens),
        nowMillis * MICROS_PER_MILLI);
  }

  private void shed(RoutingDecision.Shed shed) {
    SimulatedRequest call = requestsById.remove(shed.requestId());
    if (call != null) {
      result.shedRequests++;
      openRequests--;
      if (call.producedTokens == 0) {
        result.recordFirstReply(
            call.serviceClass.name(), call.serviceClass.targets().answerMillis());
      }
    }
  }

  /** Counts what has not ended as missed, and a stream that hangs as stalled until now. */
  private void recordUnfinishedRequests() {
    for (SimulatedRequest call : requestsById.values()) {
      if (call.producedTokens == 0) {
        result.recordFirstReply(
            call.serviceClass.name(), call.serviceClass.targets().answerMillis());
      } else {
        result.recordTokenGap(
            nowMillis - call.lastTokenMillis, call.serviceClass.targets().gapMillis());
      }
    }
  }
}
