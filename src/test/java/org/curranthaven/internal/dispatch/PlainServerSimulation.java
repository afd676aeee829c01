package org.curranthaven.internal.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Function;

/**
 * Plain backend servers of unequal capacity under random arrivals, in simulated time. The same seed
 * gives the same arrivals, work and slow phases to every policy.
 */
final class PlainServerSimulation {
  static final String SERVICE = "plain";
  static final double WORK_MILLIS = 61;
  private static final double WORK_SPREAD = 0.5;
  private static final double SLOW_PHASE_MILLIS = 600;
  private static final double SLOW_PHASE_SHARE = 0.15;
  private static final double SLOW_PHASE_FACTOR = 2.5;
  private static final double FAST_FAILURE_MILLIS = 3;

  /**
   * A server at some time.
   *
   * @param speed work done in a millisecond
   * @param knee number of requests up to which each takes the same time
   * @param slowdown growth of that time with each further request
   * @param noisy whether the machine has slow phases
   * @param failing whether every request fails at once
   */
  record Profile(double speed, int knee, double slowdown, boolean noisy, boolean failing) {
    static Profile ofSpeed(double speed) {
      return new Profile(speed, 64, 0, false, false);
    }

    Profile withKnee(int newKnee, double newSlowdown) {
      return new Profile(speed, newKnee, newSlowdown, noisy, failing);
    }

    Profile withNoise() {
      return new Profile(speed, knee, slowdown, true, failing);
    }

    Profile failingAtOnce() {
      return new Profile(speed, knee, slowdown, noisy, true);
    }

    double millisAt(int requests) {
      return WORK_MILLIS / speed * (1 + slowdown * Math.max(0, requests - knee));
    }
  }

  /** A server whose profile changes at one time. */
  record Server(String id, int slots, Profile before, Profile after) {
    static Server constant(String id, int slots, Profile profile) {
      return new Server(id, slots, profile, profile);
    }
  }

  /** Kind of requests; a kind with only one server may not run on others. */
  record Kind(String route, double perSecond, double workFactor, String onlyServer) {}

  record Setting(
      List<Server> servers, List<Kind> kinds, long changeMillis, long endMillis, long seed) {}

  /** A request under way. */
  static final class Request {
    final long id;
    final Kind kind;
    final double arrivedAtMillis;
    final double work;
    String server = "";
    double startedAtMillis;

    Request(long id, Kind kind, double arrivedAtMillis, double work) {
      this.id = id;
      this.kind = kind;
      this.arrivedAtMillis = arrivedAtMillis;
      this.work = work;
    }
  }

  /** Chooses servers. */
  interface Policy {
    void submit(Request request, long nowMillis);

    void ended(Request request, boolean failed, int slownessPercent, long nowMillis);

    void tick(long nowMillis);

    /** Returns and clears the requests that were given a server. */
    List<Request> drainPlaced();
  }

  /** A request that ended or was rejected. */
  record Ended(
      String server, String route, double arrivedAtMillis, double tookMillis, boolean failed) {}

  /** What happened from one time to another. */
  record Window(List<Ended> ended) {
    List<String> servers() {
      return ended.stream().map(Ended::server).toList();
    }

    double shareOf(String server) {
      long ofServer = ended.stream().filter(request -> request.server().equals(server)).count();
      return (double) ofServer / Math.max(1, ended.size());
    }

    double p99Millis() {
      return percentileMillis(0.99);
    }

    double percentileMillis(double share) {
      List<Double> sorted = ended.stream().map(Ended::tookMillis).sorted().toList();
      return sorted.get((int) Math.min(sorted.size() - 1L, Math.round(sorted.size() * share)));
    }

    double meanMillis() {
      return ended.stream().mapToDouble(Ended::tookMillis).average().orElse(0);
    }

    double failureShare() {
      return (double) ended.stream().filter(Ended::failed).count() / Math.max(1, ended.size());
    }
  }

  private record Event(double atMillis, long order, Runnable action) {}

  /** A running server. */
  private final class RunningServer {
    final Server server;
    final ArrayDeque<Request> waiting = new ArrayDeque<>();
    int running;

    RunningServer(Server server) {
      this.server = server;
    }

    Profile profile() {
      return nowMillis < setting.changeMillis() ? server.before() : server.after();
    }

    boolean isInSlowPhase() {
      return profile().noisy() && isSlowPhase(server.id(), nowMillis);
    }

    void start() {
      while (running < server.slots() && !waiting.isEmpty()) {
        Request request = waiting.remove();
        running++;
        Profile profile = profile();
        double millis =
            request.work * profile.millisAt(running) * (isInSlowPhase() ? SLOW_PHASE_FACTOR : 1);
        boolean failed = profile.failing();
        schedule(failed ? FAST_FAILURE_MILLIS : millis, () -> end(request, failed));
      }
    }

    void end(Request request, boolean failed) {
      running--;
      start();
      ended.add(
          new Ended(
              server.id(),
              request.kind.route(),
              request.arrivedAtMillis,
              nowMillis - request.arrivedAtMillis,
              failed));
      int percent = isInSlowPhase() ? (int) (100 * SLOW_PHASE_FACTOR) : 100;
      policy.ended(request, failed, percent, (long) nowMillis);
      startPlaced();
    }
  }

  private final Setting setting;
  private final Policy policy;
  private final SplittableRandom random;
  private final Map<String, RunningServer> servers = new LinkedHashMap<>();
  private final Map<String, List<Boolean>> slowPhases = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::atMillis).thenComparing(Event::order));
  private final List<Ended> ended = new ArrayList<>();
  private double nowMillis;
  private long nextOrder;
  private long nextId = 1;

  /** Creates the simulation; the policy gets it to look at the servers if it is an oracle. */
  PlainServerSimulation(Setting setting, Function<PlainServerSimulation, Policy> policy) {
    this.setting = setting;
    this.random = new SplittableRandom(setting.seed());
    for (Server server : setting.servers()) {
      servers.put(server.id(), new RunningServer(server));
      slowPhases.put(server.id(), drawSlowPhases());
    }
    this.policy = policy.apply(this);
  }

  private List<Boolean> drawSlowPhases() {
    List<Boolean> phases = new ArrayList<>();
    for (double at = 0; at < 2 * setting.endMillis(); at += SLOW_PHASE_MILLIS) {
      phases.add(random.nextDouble() < SLOW_PHASE_SHARE);
    }
    return phases;
  }

  private boolean isSlowPhase(String server, double atMillis) {
    List<Boolean> phases = slowPhases.getOrDefault(server, List.of());
    return phases.get((int) Math.min(phases.size() - 1.0, atMillis / SLOW_PHASE_MILLIS));
  }

  PlainServerSimulation run() {
    for (Kind kind : setting.kinds()) {
      SplittableRandom ofKind = random.split();
      double atMillis = 0;
      while (atMillis < setting.endMillis()) {
        atMillis += -Math.log(1 - ofKind.nextDouble()) * 1_000 / kind.perSecond();
        double gauss = gaussian(ofKind);
        double work =
            kind.workFactor() * Math.exp(WORK_SPREAD * gauss - WORK_SPREAD * WORK_SPREAD / 2);
        double arrivesAtMillis = atMillis;
        schedule(arrivesAtMillis, () -> arrive(new Request(nextId++, kind, nowMillis, work)));
      }
    }
    for (double at = 10; at < setting.endMillis(); at += 50) {
      schedule(at, this::tick);
    }
    while (!events.isEmpty()) {
      Event event = events.remove();
      nowMillis = event.atMillis();
      event.action().run();
    }
    return this;
  }

  private static double gaussian(SplittableRandom random) {
    double radius = Math.sqrt(-2 * Math.log(1 - random.nextDouble()));
    return radius * Math.cos(2 * Math.PI * random.nextDouble());
  }

  private void schedule(double afterMillis, Runnable action) {
    events.add(new Event(nowMillis + afterMillis, nextOrder++, action));
  }

  private void tick() {
    policy.tick((long) nowMillis);
    startPlaced();
  }

  private void arrive(Request request) {
    policy.submit(request, (long) nowMillis);
    startPlaced();
  }

  private void startPlaced() {
    for (Request request : policy.drainPlaced()) {
      RunningServer server = serverOf(request.server);
      request.startedAtMillis = nowMillis;
      server.waiting.add(request);
      server.start();
    }
  }

  Window window(long fromMillis, long toMillis) {
    return new Window(
        ended.stream()
            .filter(
                request ->
                    request.arrivedAtMillis() >= fromMillis && request.arrivedAtMillis() < toMillis)
            .toList());
  }

  private RunningServer serverOf(String id) {
    RunningServer server = servers.get(id);
    if (server == null) {
      throw new IllegalArgumentException("there is no server " + id);
    }
    return server;
  }

  int slotsOf(String server) {
    return serverOf(server).server.slots();
  }

  List<String> serverIds() {
    return List.copyOf(servers.keySet());
  }

  /** Returns the expected time of an average request on the server, for an oracle. */
  double expectedMillis(String id) {
    RunningServer server = serverOf(id);
    Profile profile = server.profile();
    if (profile.failing()) {
      return Double.MAX_VALUE;
    }
    int requests = server.running + server.waiting.size() + 1;
    double slots = server.server.slots();
    double queueing = Math.max(1, requests / slots);
    double work = profile.millisAt((int) Math.min(slots, requests));
    double slow = server.isInSlowPhase() ? SLOW_PHASE_FACTOR : 1;
    return work * slow * queueing;
  }

  int requestsOn(String id) {
    RunningServer server = serverOf(id);
    return server.running + server.waiting.size();
  }
}
