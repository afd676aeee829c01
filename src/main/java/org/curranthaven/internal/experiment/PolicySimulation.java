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
 * Simulates one policy in one scenario. The routing cores of several hosts choose among stand-in
 * engines; the reports of the engines and the hosts' updates about each other's requests are
 * periodic, and reports arrive with a delay. Not thread-safe.
 */
final class PolicySimulation {
  /** Number of hosts that route independently; both workloads enter through 8 hosts. */
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

  /** Whether hosts get reports and share updates often and without delay, as the oracle does. */
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

  /** An action at a simulated time; actions of the same time run in the order of scheduling. */
  private record ScheduledAction(long atMillis, long order, Runnable action) {}

  /** An engine with its availability and the load and cache contents it last reported. */
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

  /** A request with its progress; a retry on another engine gets a new id and generation. */
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
    Workloads.serviceClasses()
        .forEach(serviceClass -> classByName.put(serviceClass.name(), serviceClass));
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

  /** Runs the policy on the scenario's arrivals for the seed. */
  static SimulationResult run(Scenario scenario, Policy policy, long seed) {
    return new PolicySimulation(scenario, policy, seed).run(scenario.arrivals(seed));
  }

  private OutputLengths actualLength(long requestId) {
    SimulatedRequest request = requestsById.get(requestId);
    return new OutputLengths.Known(
        request == null ? 1 : request.arrival.outputTokens() - request.producedTokens);
  }

  /**
   * Advances simulated time in steps until every request has ended or the time limit is reached.
   */
  private SimulationResult run(List<Scenario.Arrival> arrivals) {
    ArrayDeque<Scenario.Arrival> remainingArrivals = new ArrayDeque<>(arrivals);
    result.arrivalDurationMillis = Scenario.ARRIVAL_DURATION_MILLIS;
    scheduleFaults();
    while (nowMillis < MAX_DURATION_MILLIS && (openRequests > 0 || !remainingArrivals.isEmpty())) {
      while (!remainingArrivals.isEmpty() && remainingArrivals.getFirst().atMillis() <= nowMillis) {
        handleArrival(remainingArrivals.removeFirst());
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

  /** Delivers ticks, engine reports and share updates that are due now. */
  private void exchangeState() {
    if (nowMillis % TICK_INTERVAL_MILLIS == 0) {
      for (int host = 0; host < HOST_COUNT; host++) {
        handle(host, new RoutingEvent.Tick());
      }
    }
    long reportIntervalMillis = immediateState ? TICK_INTERVAL_MILLIS : REPORT_INTERVAL_MILLIS;
    if (nowMillis % reportIntervalMillis == 0) {
      engines.forEach(this::sendReport);
    }
    long shareIntervalMillis = immediateState ? TICK_INTERVAL_MILLIS : SHARE_UPDATE_INTERVAL_MILLIS;
    if (nowMillis % shareIntervalMillis == 0) {
      exchangeShareUpdates();
    }
  }

  private void exchangeShareUpdates() {
    for (int from = 0; from < HOST_COUNT; from++) {
      RoutingEvent shareUpdate =
          new RoutingEvent.SharesReported(
              "host-" + from, cores.get(from).nextShareUpdate(nowMillis + clockOffsetMillis[from]));
      for (int to = 0; to < HOST_COUNT; to++) {
        if (to != from) {
          handle(to, shareUpdate);
        }
      }
    }
  }

  private void schedule(long delayMillis, Runnable action) {
    scheduledActions.add(new ScheduledAction(nowMillis + delayMillis, nextActionOrder++, action));
  }

  // ---- engines ----------------------------------------------------------------------------------

  private void scheduleFaults() {
    SimulatedEngine firstEngine = engines.getFirst();
    switch (scenario.kind()) {
      case ENGINE_LOST ->
          schedule(
              Scenario.EVENT_START_MILLIS,
              () -> stopEngine(firstEngine, LOSS_DETECTION_DELAY_MILLIS));
      case RECLAIM ->
          schedule(
              Scenario.EVENT_START_MILLIS,
              () -> {
                firstEngine.ready = false;
                removeFromHosts(firstEngine);
                schedule(RECLAIM_NOTICE_MILLIS, () -> stopEngine(firstEngine, 0));
              });
      default -> {}
    }
  }

  private void removeFromHosts(SimulatedEngine engine) {
    for (int host = 0; host < HOST_COUNT; host++) {
      handle(host, new RoutingEvent.BackendRemoved(engine.name));
    }
  }

  /** Stops an engine; the hosts detect the loss after the delay and retry its requests. */
  private void stopEngine(SimulatedEngine engine, long detectionDelayMillis) {
    engine.alive = false;
    engine.ready = false;
    schedule(
        detectionDelayMillis,
        () -> {
          removeFromHosts(engine);
          List<SimulatedRequest> interrupted =
              requestByGeneration.values().stream()
                  .filter(request -> request.engine.equals(engine.name))
                  .sorted(Comparator.comparingLong(request -> request.id))
                  .toList();
          interrupted.forEach(request -> retryOnAnotherEngine(request, engine));
        });
  }

  /** Submits a request again, to continue after its tokens so far on another engine. */
  private void retryOnAnotherEngine(SimulatedRequest request, SimulatedEngine failedEngine) {
    requestByGeneration.remove(request.generation);
    long previousId = request.id;
    handle(
        request.host,
        new RoutingEvent.Finished(
            previousId, request.producedTokens, RoutingEvent.RequestOutcome.FAILED));
    requestsById.remove(previousId);
    request.excludedEngines.add(failedEngine.name);
    submitRequest(request);
  }

  /** Sends an engine's load to all hosts; while reports are frozen, the last one is repeated. */
  private void sendReport(SimulatedEngine engine) {
    boolean reportsFrozen =
        scenario.kind() == Scenario.Kind.REPORTS_FROZEN && scenario.isDuringEvent(nowMillis);
    BackendReport report = engine.frozenReport;
    if (!reportsFrozen || report == null) {
      report =
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
    engine.frozenReport = reportsFrozen ? report : null;
    BackendReport sentReport = report;
    schedule(
        immediateState || nowMillis == 0 ? 0 : REPORT_DELAY_MILLIS,
        () -> {
          if (engine.ready) {
            for (int host = 0; host < HOST_COUNT; host++) {
              handle(host, new RoutingEvent.BackendReported(sentReport));
            }
          }
        });
    sendCacheEvents(engine);
  }

  /** Sends the changes of an engine's prefix cache to the hosts; some events are lost. */
  private void sendCacheEvents(SimulatedEngine engine) {
    Set<Long> cachedNow = Set.copyOf(engine.model.cachedPrefixes());
    double eventLossProbability = scenario.kind() == Scenario.Kind.CACHE_GAPS ? 0.5 : 0.05;
    List<RoutingEvent> events = new ArrayList<>();
    cachedNow.stream()
        .sorted()
        .filter(prefix -> !engine.cachedPrefixes.contains(prefix))
        .forEach(prefix -> events.add(new RoutingEvent.PrefixCached(engine.name, prefix, true)));
    engine.cachedPrefixes.stream()
        .sorted()
        .filter(prefix -> !cachedNow.contains(prefix))
        .forEach(prefix -> events.add(new RoutingEvent.PrefixCached(engine.name, prefix, false)));
    engine.cachedPrefixes = cachedNow;
    for (RoutingEvent event : events) {
      if (random.nextDouble() >= eventLossProbability) {
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
        SimulatedRequest request = requestByGeneration.get(token.generation());
        if (request != null) {
          handleToken(request, token);
        }
      }
    }
  }

  private void handleToken(SimulatedRequest request, EngineEvent.Token token) {
    long atMillis = token.atMicros() / MICROS_PER_MILLI;
    if (atMillis < Scenario.ARRIVAL_DURATION_MILLIS) {
      result.tokensDuringArrivals++;
    }
    if (request.producedTokens == 0) {
      long firstReplyMillis = atMillis - request.arrival.atMillis();
      result.recordFirstReply(request.serviceClass.name(), firstReplyMillis);
      request.firstReplyOnTime =
          firstReplyMillis <= request.serviceClass.targets().firstReplyMillis();
    } else {
      result.recordTokenGap(
          atMillis - request.lastTokenMillis, request.serviceClass.targets().gapMillis());
    }
    request.producedTokens = token.index() + 1;
    request.lastTokenMillis = atMillis;
    if (token.last()) {
      completeRequest(request, atMillis);
    } else {
      handle(request.host, new RoutingEvent.Progressed(request.id, request.producedTokens));
    }
  }

  private void completeRequest(SimulatedRequest request, long atMillis) {
    requestByGeneration.remove(request.generation);
    handle(
        request.host,
        new RoutingEvent.Finished(
            request.id, request.producedTokens, RoutingEvent.RequestOutcome.COMPLETED));
    requestsById.remove(request.id);
    openRequests--;
    long completionMillis = atMillis - request.arrival.atMillis();
    if (request.firstReplyOnTime
        && completionMillis <= request.serviceClass.targets().answerMillis()) {
      result.requestsOnTarget++;
      result.onTargetByClass.merge(request.serviceClass.name(), 1L, Long::sum);
    }
  }

  // ---- requests ---------------------------------------------------------------------------------

  private void handleArrival(Scenario.Arrival arrival) {
    ServiceClass serviceClass = classByName.get(arrival.requestKind().className());
    if (serviceClass == null) {
      throw new IllegalArgumentException(
          "the workloads have no service class named "
              + arrival.requestKind().className()
              + "; add it to Workloads.serviceClasses");
    }
    result.requests++;
    openRequests++;
    submitRequest(new SimulatedRequest(arrival, serviceClass, random.nextInt(HOST_COUNT)));
  }

  private void submitRequest(SimulatedRequest request) {
    request.id = nextRequestId++;
    requestsById.put(request.id, request);
    handle(
        request.host,
        new RoutingEvent.Arrived(
            new RequestAttributes(
                request.id,
                request.arrival.workspace(),
                request.serviceClass.name(),
                request.serviceClass.targets(),
                request.arrival.requestKind().target(),
                request.arrival.requestKind().promptTokens() + request.producedTokens,
                8_192,
                request.arrival.prefixId(),
                request.producedTokens == 0 ? request.arrival.atMillis() : nowMillis,
                request.excludedEngines)));
  }

  private void handle(int host, RoutingEvent event) {
    long startNanos = System.nanoTime();
    List<RoutingDecision> decisions =
        cores.get(host).handle(toHostClock(event, host), nowMillis + clockOffsetMillis[host]);
    result.eventHandlingNanos += System.nanoTime() - startNanos;
    result.handledEvents++;
    for (RoutingDecision decision : decisions) {
      switch (decision) {
        case RoutingDecision.Dispatch dispatch -> dispatch(dispatch);
        case RoutingDecision.Shed shed -> shed(shed);
      }
    }
  }

  /** Returns the event with its times converted to the host's clock. */
  private RoutingEvent toHostClock(RoutingEvent event, int host) {
    long offsetMillis = clockOffsetMillis[host];
    return switch (event) {
      case RoutingEvent.Arrived arrived -> {
        RequestAttributes request = arrived.request();
        yield new RoutingEvent.Arrived(
            request.withArrivedAtMillis(request.arrivedAtMillis() + offsetMillis));
      }
      case RoutingEvent.BackendReported reported -> {
        BackendReport report = reported.report();
        yield new RoutingEvent.BackendReported(
            report.withSentAtMillis(report.sentAtMillis() + offsetMillis));
      }
      default -> event;
    };
  }

  private void dispatch(RoutingDecision.Dispatch dispatch) {
    SimulatedRequest request = requestsById.get(dispatch.requestId());
    SimulatedEngine engine = engineByName.get(dispatch.server());
    if (request == null || engine == null) {
      return;
    }
    if (!engine.alive) {
      // The connection is refused, so the request is retried on another engine.
      schedule(1, () -> retryOnAnotherEngine(request, engine));
      return;
    }
    request.generation = "g" + dispatch.requestId();
    request.engine = engine.name;
    requestByGeneration.put(request.generation, request);
    engine.model.submit(
        new EngineModel.EngineRequest(
            request.generation,
            request.arrival.requestKind().promptTokens(),
            request.arrival.outputTokens(),
            dispatch.priority(),
            request.arrival.prefixId(),
            request.producedTokens),
        nowMillis * MICROS_PER_MILLI);
  }

  private void shed(RoutingDecision.Shed shed) {
    SimulatedRequest request = requestsById.remove(shed.requestId());
    if (request != null) {
      result.shedRequests++;
      openRequests--;
      if (request.producedTokens == 0) {
        result.recordFirstReply(
            request.serviceClass.name(), request.serviceClass.targets().answerMillis());
      }
    }
  }

  /**
   * Records the requests that have not ended: one without a token as if shed, a stream as stalled
   * from its last token until now.
   */
  private void recordUnfinishedRequests() {
    for (SimulatedRequest request : requestsById.values()) {
      if (request.producedTokens == 0) {
        result.recordFirstReply(
            request.serviceClass.name(), request.serviceClass.targets().answerMillis());
      } else {
        result.recordTokenGap(
            nowMillis - request.lastTokenMillis, request.serviceClass.targets().gapMillis());
      }
    }
  }
}
