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
final class PolicyRun {
  /** Hosts that choose independently: the users' 8 entry hosts. */
  static final int HOSTS = 8;

  private static final long STEP_MILLIS = 2;
  private static final long REPORT_PERIOD_MILLIS = 500;
  private static final long REPORT_LAG_MILLIS = 150;
  private static final long SHARE_PERIOD_MILLIS = 50;
  private static final long TICK_PERIOD_MILLIS = 20;
  private static final long CACHE_LAG_MILLIS = 400;
  private static final long LOSS_NOTICED_MILLIS = 1_000;
  private static final long RECLAIM_NOTICE_MILLIS = 2_000;
  private static final long END_MILLIS = 240_000;
  private static final int MICROS_PER_MILLI = 1_000;

  private final Scenario scenario;
  private final boolean freshState;
  private final SplittableRandom random;
  private final List<RoutingCore> cores = new ArrayList<>();
  private final long[] clockOffsetMillis = new long[HOSTS];
  private final Map<String, Engine> engines = new HashMap<>();
  private final List<Engine> engineList = new ArrayList<>();
  private final Map<Long, Call> calls = new HashMap<>();
  private final Map<String, Call> callByGeneration = new HashMap<>();
  private final Map<String, ServiceClass> classes = new HashMap<>();
  private final PriorityQueue<Delayed> delayed =
      new PriorityQueue<>(
          Comparator.comparingLong(Delayed::atMillis).thenComparing(Delayed::order));
  private final RunResult result = new RunResult();
  private long nowMillis;
  private long nextOrder;
  private long nextId = 1;
  private int open;

  private record Delayed(long atMillis, long order, Runnable action) {}

  private static final class Engine {
    final String name;
    final EngineModel model;
    boolean alive = true;
    boolean ready = true;
    @Nullable BackendReport frozen;
    Set<Long> cached = Set.of();

    Engine(String name, EngineModel model) {
      this.name = name;
      this.model = model;
    }
  }

  private static final class Call {
    final Scenario.Arrival arrival;
    final ServiceClass serviceClass;
    final int host;
    long id;
    String generation = "";
    String engine = "";
    int produced;
    long lastTokenMillis;
    boolean firstInTime;
    final Set<String> excluded = new HashSet<>();

    Call(Scenario.Arrival arrival, ServiceClass serviceClass, int host) {
      this.arrival = arrival;
      this.serviceClass = serviceClass;
      this.host = host;
    }
  }

  private PolicyRun(Scenario scenario, Policy policy, long seed) {
    this.scenario = scenario;
    this.random = new SplittableRandom(seed);
    this.freshState = policy instanceof Policy.Forecast forecast && forecast.options().oracle();
    Workloads.classes().forEach(c -> classes.put(c.name(), c));
    for (int i = 0; i < HOSTS; i++) {
      clockOffsetMillis[i] = random.nextInt(1_000_000);
      cores.add(new RoutingCore("host-" + i, policy, random.split(), this::trueLength));
    }
    for (int i = 0; i < scenario.engineCount(); i++) {
      Engine engine = new Engine("engine-" + i, new EngineModel(scenario.engine(i)));
      engines.put(engine.name, engine);
      engineList.add(engine);
    }
  }

  /** Runs the policy on the scenario's arrivals of the seed. */
  static RunResult run(Scenario scenario, Policy policy, long seed) {
    return new PolicyRun(scenario, policy, seed).run(scenario.arrivals(seed));
  }

  private OutputLengths trueLength(long requestId) {
    Call call = calls.get(requestId);
    return new OutputLengths.Known(call == null ? 1 : call.arrival.tokens() - call.produced);
  }

  private RunResult run(List<Scenario.Arrival> arrivals) {
    ArrayDeque<Scenario.Arrival> left = new ArrayDeque<>(arrivals);
    result.arrivalMillis = Scenario.ARRIVAL_MILLIS;
    scheduleFaults();
    while (nowMillis < END_MILLIS && (open > 0 || !left.isEmpty())) {
      while (!left.isEmpty() && left.getFirst().atMillis() <= nowMillis) {
        arrive(left.removeFirst());
      }
      while (!delayed.isEmpty() && delayed.peek().atMillis() <= nowMillis) {
        delayed.remove().action().run();
      }
      for (Engine engine : engineList) {
        if (engine.alive) {
          engine.model.advance(nowMillis * MICROS_PER_MILLI).forEach(this::happened);
        }
      }
      exchange();
      nowMillis += STEP_MILLIS;
    }
    finish();
    return result;
  }

  private void exchange() {
    if (nowMillis % TICK_PERIOD_MILLIS == 0) {
      for (int host = 0; host < HOSTS; host++) {
        handle(host, new RoutingEvent.Tick());
      }
    }
    long reportPeriod = freshState ? TICK_PERIOD_MILLIS : REPORT_PERIOD_MILLIS;
    if (nowMillis % reportPeriod == 0) {
      engineList.forEach(this::report);
    }
    long sharePeriod = freshState ? TICK_PERIOD_MILLIS : SHARE_PERIOD_MILLIS;
    if (nowMillis % sharePeriod == 0) {
      share();
    }
  }

  private void share() {
    for (int from = 0; from < HOSTS; from++) {
      RoutingEvent shares =
          new RoutingEvent.SharesReported(
              "host-" + from, cores.get(from).nextShareUpdate(nowMillis + clockOffsetMillis[from]));
      for (int to = 0; to < HOSTS; to++) {
        if (to != from) {
          handle(to, shares);
        }
      }
    }
  }

  private void later(long delayMillis, Runnable action) {
    delayed.add(new Delayed(nowMillis + delayMillis, nextOrder++, action));
  }

  // ---- engines ----------------------------------------------------------------------------------

  private void scheduleFaults() {
    Engine first = engineList.getFirst();
    switch (scenario.kind()) {
      case ENGINE_LOST -> later(Scenario.EVENT_MILLIS, () -> lose(first, LOSS_NOTICED_MILLIS));
      case RECLAIM ->
          later(
              Scenario.EVENT_MILLIS,
              () -> {
                first.ready = false;
                withdraw(first);
                later(RECLAIM_NOTICE_MILLIS, () -> lose(first, 0));
              });
      default -> {}
    }
  }

  private void withdraw(Engine engine) {
    for (int host = 0; host < HOSTS; host++) {
      handle(host, new RoutingEvent.BackendRemoved(engine.name));
    }
  }

  private void lose(Engine engine, long noticedAfterMillis) {
    engine.alive = false;
    engine.ready = false;
    later(
        noticedAfterMillis,
        () -> {
          withdraw(engine);
          List<Call> lost =
              callByGeneration.values().stream()
                  .filter(call -> call.engine.equals(engine.name))
                  .sorted(Comparator.comparingLong(call -> call.id))
                  .toList();
          lost.forEach(call -> continueElsewhere(call, engine));
        });
  }

  /** Another engine takes the generation over from the tokens so far. */
  private void continueElsewhere(Call call, Engine lost) {
    callByGeneration.remove(call.generation);
    long before = call.id;
    handle(
        call.host,
        new RoutingEvent.Finished(before, call.produced, RoutingEvent.RequestOutcome.FAILED));
    calls.remove(before);
    call.excluded.add(lost.name);
    request(call);
  }

  private void report(Engine engine) {
    boolean frozen = scenario.kind() == Scenario.Kind.REPORTS_FROZEN && scenario.inEvent(nowMillis);
    BackendReport current = engine.frozen;
    if (!frozen || current == null) {
      current =
          new BackendReport(
              engine.name,
              "a",
              Set.of(scenario.kinds().getFirst().target()),
              engine.model.blocksTotal(),
              engine.model.blocksUsed(),
              engine.model.running(),
              engine.model.waiting(),
              64,
              nowMillis,
              Long.MIN_VALUE / 2);
    }
    engine.frozen = frozen ? current : null;
    BackendReport sent = current;
    later(
        freshState || nowMillis == 0 ? 0 : REPORT_LAG_MILLIS,
        () -> {
          if (engine.ready) {
            for (int host = 0; host < HOSTS; host++) {
              handle(host, new RoutingEvent.BackendReported(sent));
            }
          }
        });
    reportCache(engine);
  }

  private void reportCache(Engine engine) {
    Set<Long> cached = Set.copyOf(engine.model.cachedPrefixes());
    double lossShare = scenario.kind() == Scenario.Kind.CACHE_GAPS ? 0.5 : 0.05;
    List<RoutingEvent> events = new ArrayList<>();
    cached.stream()
        .sorted()
        .filter(prefix -> !engine.cached.contains(prefix))
        .forEach(prefix -> events.add(new RoutingEvent.PrefixCached(engine.name, prefix, true)));
    engine.cached.stream()
        .sorted()
        .filter(prefix -> !cached.contains(prefix))
        .forEach(prefix -> events.add(new RoutingEvent.PrefixCached(engine.name, prefix, false)));
    engine.cached = cached;
    for (RoutingEvent event : events) {
      if (random.nextDouble() >= lossShare) {
        later(
            CACHE_LAG_MILLIS,
            () -> {
              for (int host = 0; host < HOSTS; host++) {
                handle(host, event);
              }
            });
      }
    }
  }

  private void happened(EngineEvent event) {
    switch (event) {
      case EngineEvent.Preempted preempted -> result.preemptions++;
      case EngineEvent.Token token -> {
        Call call = callByGeneration.get(token.generation());
        if (call != null) {
          token(call, token);
        }
      }
    }
  }

  private void token(Call call, EngineEvent.Token token) {
    long atMillis = token.atMicros() / MICROS_PER_MILLI;
    if (atMillis < Scenario.ARRIVAL_MILLIS) {
      result.tokens++;
    }
    if (call.produced == 0) {
      long firstReply = atMillis - call.arrival.atMillis();
      result.firstReply(call.serviceClass.name(), firstReply);
      call.firstInTime = firstReply <= call.serviceClass.targets().firstReplyMillis();
    } else {
      result.gap(atMillis - call.lastTokenMillis, call.serviceClass.targets().gapMillis());
    }
    call.produced = token.index() + 1;
    call.lastTokenMillis = atMillis;
    if (token.last()) {
      ended(call, atMillis);
    } else {
      handle(call.host, new RoutingEvent.Progressed(call.id, call.produced));
    }
  }

  private void ended(Call call, long atMillis) {
    callByGeneration.remove(call.generation);
    handle(
        call.host,
        new RoutingEvent.Finished(call.id, call.produced, RoutingEvent.RequestOutcome.COMPLETED));
    calls.remove(call.id);
    open--;
    long answer = atMillis - call.arrival.atMillis();
    if (call.firstInTime && answer <= call.serviceClass.targets().answerMillis()) {
      result.met++;
      result.metByClass.merge(call.serviceClass.name(), 1L, Long::sum);
    }
  }

  // ---- requests ---------------------------------------------------------------------------------

  private void arrive(Scenario.Arrival arrival) {
    ServiceClass serviceClass = classes.get(arrival.kind().className());
    if (serviceClass == null) {
      throw new IllegalArgumentException("no class " + arrival.kind().className());
    }
    result.requests++;
    open++;
    request(new Call(arrival, serviceClass, random.nextInt(HOSTS)));
  }

  private void request(Call call) {
    call.id = nextId++;
    calls.put(call.id, call);
    handle(
        call.host,
        new RoutingEvent.Arrived(
            new RequestAttributes(
                call.id,
                call.arrival.workspace(),
                call.serviceClass.name(),
                call.serviceClass.targets(),
                call.arrival.kind().target(),
                call.arrival.kind().promptTokens() + call.produced,
                8_192,
                call.arrival.prefix(),
                call.produced == 0 ? call.arrival.atMillis() : nowMillis,
                call.excluded)));
  }

  private void handle(int host, RoutingEvent event) {
    long start = System.nanoTime();
    List<RoutingDecision> decisions =
        cores.get(host).handle(onClock(event, host), nowMillis + clockOffsetMillis[host]);
    result.decisionNanos += System.nanoTime() - start;
    result.decisions++;
    for (RoutingDecision decision : decisions) {
      switch (decision) {
        case RoutingDecision.Dispatch dispatch -> dispatch(dispatch);
        case RoutingDecision.Shed shed -> shed(shed);
      }
    }
  }

  /** Returns the event with its times on the host's own clock. */
  private RoutingEvent onClock(RoutingEvent event, int host) {
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
    Call call = calls.get(dispatch.requestId());
    Engine engine = engines.get(dispatch.server());
    if (call == null || engine == null) {
      return;
    }
    if (!engine.alive) {
      // The connection is refused; the request goes elsewhere.
      later(1, () -> continueElsewhere(call, engine));
      return;
    }
    call.generation = "g" + dispatch.requestId();
    call.engine = engine.name;
    callByGeneration.put(call.generation, call);
    engine.model.submit(
        new EngineModel.EngineRequest(
            call.generation,
            call.arrival.kind().promptTokens(),
            call.arrival.tokens(),
            dispatch.priority(),
            call.arrival.prefix(),
            call.produced),
        nowMillis * MICROS_PER_MILLI);
  }

  private void shed(RoutingDecision.Shed shed) {
    Call call = calls.remove(shed.requestId());
    if (call != null) {
      result.shed++;
      open--;
      if (call.produced == 0) {
        result.firstReply(call.serviceClass.name(), call.serviceClass.targets().answerMillis());
      }
    }
  }

  /** Counts what has not ended as missed, and a stream that hangs as stalled until now. */
  private void finish() {
    for (Call call : calls.values()) {
      if (call.produced == 0) {
        result.firstReply(call.serviceClass.name(), call.serviceClass.targets().answerMillis());
      } else {
        result.gap(nowMillis - call.lastTokenMillis, call.serviceClass.targets().gapMillis());
      }
    }
  }
}
