package org.curranthaven.internal.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongFunction;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Chooses when and where each request runs. It owns no clock, thread or socket: events go in,
 * decisions come out, and the same events with the same random source give the same decisions.
 *
 * <pre>{@code
 * RoutingCore core = new RoutingCore("accra-1", new Policy.Forecast(ForecastOptions.standard()), random);
 * core.handle(new BackendReported(report), now);
 * List<RoutingDecision> decisions = core.handle(new Arrived(request), now);
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class RoutingCore {
  /** Most requests that may wait; beyond it new ones are given up. */
  public static final int MAX_QUEUED = 20_000;

  /** Requests of one model that may fail to find a server before the pass stops trying it. */
  private static final int TRIES_PER_MODEL = 16;

  /** Largest share by which the due time of a class that misses its target is moved up. */
  private static final double MAX_PRESSURE = 0.5;

  /** Shortest time after which a shed caller is asked to come back, in milliseconds. */
  private static final long MIN_RETRY_AFTER_MILLIS = 500;

  /** Longest such time, in milliseconds. */
  private static final long MAX_RETRY_AFTER_MILLIS = 30_000;

  private final Policy policy;
  private final BackendChooser chooser;
  private final LongFunction<OutputLengths> trueLengths;
  private final RequestQueue queue = new RequestQueue();
  private final OutlierEjector ejector = new OutlierEjector();
  private final Map<String, BackendServerState> servers = new LinkedHashMap<>();
  private final Map<Long, BackendServerState> placements = new HashMap<>();
  private final Map<ClassKey, ClassStats> stats = new HashMap<>();
  private final HostTimeSlots timeSlots;
  private final ShareUpdatePolicy shareUpdatePolicy = new ShareUpdatePolicy();
  private final Map<String, Integer> serverCountByModel = new HashMap<>();
  private List<RoutingDecision> decisions = new ArrayList<>();

  private record ClassKey(String className, String model) {}

  /** Creates the core of a host, which is not told true lengths. */
  public RoutingCore(String host, Policy policy, RandomGenerator random) {
    this(host, policy, random, id -> new OutputLengths.Known(1));
  }

  /** Creates a core whose policy, if it is an oracle, is told true lengths by request number. */
  public RoutingCore(
      String host, Policy policy, RandomGenerator random, LongFunction<OutputLengths> trueLengths) {
    this.policy = policy;
    this.timeSlots = new HostTimeSlots(host);
    this.chooser = new BackendChooser(policy, random, timeSlots);
    this.trueLengths = trueLengths;
  }

  /** Handles one event and returns what to do, in order. */
  public List<RoutingDecision> handle(RoutingEvent event, long nowMillis) {
    decisions = new ArrayList<>();
    switch (event) {
      case RoutingEvent.Arrived arrival -> arrived(arrival.request(), nowMillis);
      case RoutingEvent.Abandoned abandoned -> queue.remove(abandoned.requestId());
      case RoutingEvent.Progressed progress ->
          progressed(progress.requestId(), progress.tokens(), nowMillis);
      case RoutingEvent.Finished end -> finished(end, nowMillis);
      case RoutingEvent.BackendReported reported -> reported(reported.report(), nowMillis);
      case RoutingEvent.BackendRemoved gone -> serverGone(gone.server());
      case RoutingEvent.SharesReported reported ->
          sharesReported(reported.host(), reported.update());
      case RoutingEvent.HostRemoved gone -> hostGone(gone.host());
      case RoutingEvent.PrefixCached cached -> prefixCached(cached, nowMillis);
      case RoutingEvent.Tick ignored -> tick(nowMillis);
    }
    return decisions;
  }

  /** Returns the number of requests that wait. */
  public int queued() {
    return queue.size();
  }

  /** Returns what to tell the other hosts now of what this host has open on each server. */
  public ShareUpdate takeShareUpdate(long nowMillis) {
    return shareUpdatePolicy.take(ownShares(), nowMillis);
  }

  private List<HostShare> ownShares() {
    return servers.values().stream()
        .filter(server -> server.ownOpen() > 0)
        .map(server -> new HostShare(server.name(), server.ownOpen(), server.ownForecast()))
        .toList();
  }

  /** Returns figures of each server for the state dump, by name. */
  public Map<String, ServerView> serverViews(long nowMillis) {
    Map<String, ServerView> views = new TreeMap<>();
    for (BackendServerState server : servers.values()) {
      views.put(
          server.name(),
          new ServerView(
              server.usable(),
              ejector.isEjected(server.name(), nowMillis),
              server.ownOpen(),
              server.totalRunning(),
              server.report().blocksTotal(),
              server.report().blocksUsed(),
              server.forecast().peakBlocks(new MemoryForecast(), 2, server.unexplainedBlocks()),
              server.gapMillis(),
              nowMillis - server.report().sentAtMillis()));
    }
    return views;
  }

  /** Returns figures of each class and model for the state dump. */
  public Map<String, ClassView> classViews() {
    Map<String, ClassView> views = new TreeMap<>();
    stats.forEach(
        (key, value) ->
            views.put(
                key.className() + "/" + key.model(),
                new ClassView(
                    value.arrivalsPerSecond(),
                    value.dispatchesPerSecond(),
                    value.missShare(),
                    value.lengths.meanRemaining(0),
                    value.lengths.outputs())));
    return views;
  }

  /** Figures of one server as the core sees it; blocks are memory blocks. */
  public record ServerView(
      boolean usable,
      boolean ejected,
      int ownOpen,
      int counted,
      int blocksTotal,
      int blocksUsedReported,
      double blocksPeakForecast,
      double gapMillis,
      long reportAgeMillis) {}

  /** Figures of one class on one model as the core sees it. */
  public record ClassView(
      double arrivalsPerSecond,
      double dispatchesPerSecond,
      double missShare,
      double meanOutputTokens,
      long outputsSeen) {}

  // ---- events -----------------------------------------------------------------------------------

  private void arrived(RequestAttributes request, long nowMillis) {
    ClassStats classStats = statsOf(request, nowMillis);
    classStats.advance(nowMillis);
    classStats.arrived(request);
    if (queue.size() >= MAX_QUEUED) {
      shed(request, RoutingDecision.ShedReason.QUEUE_FULL, nowMillis);
      return;
    }
    double pressure = MAX_PRESSURE * classStats.missShare();
    long target = (long) (request.targets().firstReplyMillis() * (1 - pressure));
    queue.add(request, request.arrivedAtMillis() + Math.max(1, target));
    // What waits already found no server, and nothing else has changed since.
    tryDispatch(request, servers.values(), nowMillis);
  }

  private void progressed(long id, int tokens, long nowMillis) {
    BackendServerState server = placements.get(id);
    if (server != null) {
      server.progressed(id, tokens, nowMillis);
    }
  }

  private void finished(RoutingEvent.Finished end, long nowMillis) {
    long id = end.requestId();
    BackendServerState server = placements.remove(id);
    if (server == null) {
      return;
    }
    BackendServerState.OpenRequest open = server.openRequest(id);
    server.closed(id);
    switch (end.ending()) {
      case COMPLETED -> {
        ejector.succeeded(server.name());
        if (open != null) {
          statsOf(open.request, nowMillis).lengths.record(end.tokens());
        }
      }
      case FAILED, REFUSED -> ejector.failed(server.name(), peersOf(server, open), nowMillis);
      case CANCELLED -> {}
    }
    dispatchQueue(List.of(server), nowMillis);
  }

  private Collection<String> peersOf(
      BackendServerState server, BackendServerState.@Nullable OpenRequest open) {
    String model =
        open == null
            ? server.report().models().stream().findFirst().orElse("")
            : open.request.model();
    return servers.values().stream()
        .filter(other -> other.serves(model))
        .map(BackendServerState::name)
        .toList();
  }

  private void reported(BackendReport report, long nowMillis) {
    BackendServerState server = servers.get(report.name());
    boolean known =
        server != null && server.usable() && server.report().models().equals(report.models());
    if (server == null) {
      server = new BackendServerState(report);
      servers.put(report.name(), server);
    }
    server.reported(report);
    if (!known) {
      countServers();
    }
    dispatchQueue(List.of(server), nowMillis);
  }

  private void serverGone(String name) {
    BackendServerState server = servers.get(name);
    if (server == null) {
      return;
    }
    server.setUsable(false);
    countServers();
    if (server.ownOpen() == 0) {
      servers.remove(name);
      ejector.forget(name);
    }
  }

  private void sharesReported(String host, ShareUpdate update) {
    timeSlots.add(host);
    Map<String, HostShare> byServer = new HashMap<>();
    update.shares().forEach(share -> byServer.put(share.server(), share));
    for (BackendServerState server : servers.values()) {
      HostShare share = byServer.get(server.name());
      if (share == null && !update.full()) {
        continue;
      }
      if (share == null || share.running() == 0) {
        server.removeShare(host);
      } else {
        server.setShare(host, share);
      }
    }
  }

  private void hostGone(String host) {
    timeSlots.remove(host);
    servers.values().forEach(server -> server.removeShare(host));
  }

  private void prefixCached(RoutingEvent.PrefixCached cached, long nowMillis) {
    BackendServerState server = servers.get(cached.server());
    if (server != null) {
      server.prefixCached(cached.prefixHash(), cached.present(), nowMillis);
    }
  }

  private void tick(long nowMillis) {
    stats.values().forEach(classStats -> classStats.advance(nowMillis));
    servers.values().forEach(BackendServerState::refreshForecast);
    servers.values().removeIf(server -> !server.usable() && server.ownOpen() == 0);
    queue.renewOverdue(nowMillis);
    shedHopeless(nowMillis);
    dispatchQueue(servers.values(), nowMillis);
  }

  // ---- decisions --------------------------------------------------------------------------------

  /** Tries the waiting requests in order on servers on which something has changed. */
  private void dispatchQueue(Collection<BackendServerState> changed, long nowMillis) {
    Map<String, Integer> failedTries = new HashMap<>();
    Map<String, Long> reserved = new HashMap<>();
    for (RequestQueue.Waiting waiting : queue.inOrder()) {
      RequestAttributes request = waiting.request();
      int tries = failedTries.getOrDefault(request.model(), 0);
      long limit = reserved.getOrDefault(request.model(), Long.MAX_VALUE);
      if (tries >= TRIES_PER_MODEL || request.targets().firstReplyMillis() >= limit) {
        continue;
      }
      if (!tryDispatch(request, changed, nowMillis)) {
        failedTries.merge(request.model(), 1, Integer::sum);
        if (waiting.overdue(nowMillis)) {
          reserved.merge(request.model(), request.targets().firstReplyMillis(), Math::min);
        }
      }
    }
  }

  private boolean tryDispatch(
      RequestAttributes request, Collection<BackendServerState> among, long nowMillis) {
    List<BackendServerState> able = ableServers(request, among, nowMillis);
    OutputLengths lengths = lengthsOf(request, nowMillis);
    BackendChooser.Candidate candidate =
        new BackendChooser.Candidate(request, lengths, headroomBlocks(request));
    BackendChooser.Choice choice = chooser.choose(candidate, able, nowMillis);
    if (choice == null) {
      return false;
    }
    BackendServerState server = choice.server();
    int running = server.totalRunning();
    queue.remove(request.id());
    placements.put(request.id(), server);
    server.opened(new BackendServerState.OpenRequest(request, lengths, nowMillis));
    long slack = request.firstReplyDueMillis() - nowMillis;
    statsOf(request, nowMillis).dispatched(slack < 0);
    decisions.add(
        new RoutingDecision.Dispatch(
            request.id(),
            server.name(),
            priorityOf(request),
            new RoutingDecision.DispatchReason(
                policy.policyName(),
                choice.admissible(),
                slack,
                queue.size(),
                choice.peakMemoryShare(),
                running)));
    return true;
  }

  private List<BackendServerState> ableServers(
      RequestAttributes request, Collection<BackendServerState> among, long nowMillis) {
    List<BackendServerState> able = new ArrayList<>();
    List<BackendServerState> excluded = new ArrayList<>();
    for (BackendServerState server : among) {
      if (!server.serves(request.model()) || ejector.isEjected(server.name(), nowMillis)) {
        continue;
      }
      if (request.excludedServers().contains(server.name())) {
        excluded.add(server);
      } else {
        able.add(server);
      }
    }
    // A pass over a part of the servers says nothing of the rest.
    boolean allTried = among.size() == servers.size();
    return able.isEmpty() && allTried ? excluded : able;
  }

  /** Returns the rank of the class by its first-reply target: the tightest is 0. */
  private int priorityOf(RequestAttributes request) {
    long own = request.targets().firstReplyMillis();
    return (int)
        stats.values().stream()
            .mapToLong(other -> other.targets().firstReplyMillis())
            .filter(target -> target < own)
            .distinct()
            .count();
  }

  /** Returns the memory to leave free on each server for the next arrivals of tighter classes. */
  private double headroomBlocks(RequestAttributes request) {
    int serverCount = serverCountByModel.getOrDefault(request.model(), 0);
    if (!(policy instanceof Policy.Forecast forecast) || serverCount == 0) {
      return 0;
    }
    ForecastOptions options = forecast.options();
    double blocks = 0;
    for (Map.Entry<ClassKey, ClassStats> entry : stats.entrySet()) {
      ClassStats other = entry.getValue();
      boolean tighter =
          other.targets().firstReplyMillis() < request.targets().firstReplyMillis()
              && entry.getKey().model().equals(request.model());
      if (tighter) {
        double arrivals = other.arrivalsPerSecond() * options.headroomMillis() / 1_000;
        blocks += arrivals * timeSlots.count() * other.typicalBlocks();
      }
    }
    return blocks / serverCount;
  }

  private void shedHopeless(long nowMillis) {
    if (!(policy instanceof Policy.Forecast forecast) || !forecast.options().shedding()) {
      return;
    }
    for (RequestQueue.Waiting waiting : queue.inOrder()) {
      RequestAttributes request = waiting.request();
      if (!isServed(request.model()) && waiting.overdue(nowMillis)) {
        queue.remove(request.id());
        shed(request, RoutingDecision.ShedReason.NO_SERVER, nowMillis);
      } else if (cannotFinish(request, nowMillis)) {
        queue.remove(request.id());
        shed(request, RoutingDecision.ShedReason.TARGET_UNREACHABLE, nowMillis);
      }
    }
  }

  private void countServers() {
    serverCountByModel.clear();
    for (BackendServerState server : servers.values()) {
      if (server.usable()) {
        server.report().models().forEach(m -> serverCountByModel.merge(m, 1, Integer::sum));
      }
    }
  }

  private boolean isServed(String model) {
    return serverCountByModel.containsKey(model);
  }

  /** Returns whether an answer of ordinary length cannot be whole in time any more. */
  private boolean cannotFinish(RequestAttributes request, long nowMillis) {
    double target = request.targets().gapMillis();
    double gap = Math.min(medianGapMillis(request.model()), target);
    double run = lengthsOf(request, nowMillis).meanRemaining(0) * gap;
    double shortestRun = Math.min(run, 0.5 * request.targets().answerMillis());
    return nowMillis + shortestRun > request.answerDueMillis();
  }

  private double medianGapMillis(String model) {
    double[] gaps =
        servers.values().stream()
            .filter(server -> server.serves(model) && server.gapMillis() > 0)
            .mapToDouble(BackendServerState::gapMillis)
            .sorted()
            .toArray();
    return gaps.length == 0 ? 0 : gaps[gaps.length / 2];
  }

  private void shed(RequestAttributes request, RoutingDecision.ShedReason reason, long nowMillis) {
    ClassStats classStats = statsOf(request, nowMillis);
    classStats.shed();
    double rate = Math.max(0.2, classStats.dispatchesPerSecond());
    long retryAfter =
        Math.clamp(
            (long) (queue.size() * 1_000 / rate), MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
    decisions.add(new RoutingDecision.Shed(request.id(), retryAfter, reason));
  }

  private ClassStats statsOf(RequestAttributes request, long nowMillis) {
    return stats.computeIfAbsent(
        new ClassKey(request.className(), request.model()),
        key -> new ClassStats(request.targets(), nowMillis));
  }

  private OutputLengths lengthsOf(RequestAttributes request, long nowMillis) {
    boolean oracle = policy instanceof Policy.Forecast forecast && forecast.options().oracle();
    return oracle ? trueLengths.apply(request.id()) : statsOf(request, nowMillis).lengths;
  }
}
