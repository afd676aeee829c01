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
  private static final int MAX_FAILED_PLACEMENTS_PER_MODEL = 16;

  /** Largest share by which the due time of a class that misses its target is moved up. */
  private static final double MAX_DUE_TIME_REDUCTION = 0.5;

  /** Shortest time after which a shed caller is asked to come back, in milliseconds. */
  private static final long MIN_RETRY_AFTER_MILLIS = 500;

  /** Longest such time, in milliseconds. */
  private static final long MAX_RETRY_AFTER_MILLIS = 30_000;

  private final Policy policy;
  private final BackendChooser chooser;
  private final LongFunction<OutputLengths> actualLengths;
  private final RequestQueue queue = new RequestQueue();
  private final OutlierEjector ejector = new OutlierEjector();
  private final Map<String, BackendServerState> backends = new LinkedHashMap<>();
  private final Map<Long, BackendServerState> backendByRequestId = new HashMap<>();
  private final Map<ClassKey, ClassStats> statsByClass = new HashMap<>();
  private final HostTimeSlots timeSlots;
  private final ShareUpdatePolicy shareUpdatePolicy = new ShareUpdatePolicy();
  private final Map<String, Integer> backendCountByModel = new HashMap<>();
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
    this.actualLengths = trueLengths;
  }

  /** Handles one event and returns what to do, in order. */
  public List<RoutingDecision> handle(RoutingEvent event, long nowMillis) {
    decisions = new ArrayList<>();
    switch (event) {
      case RoutingEvent.Arrived arrival -> handleArrival(arrival.request(), nowMillis);
      case RoutingEvent.Abandoned abandoned -> queue.remove(abandoned.requestId());
      case RoutingEvent.Progressed progress ->
          handleProgress(progress.requestId(), progress.tokens(), nowMillis);
      case RoutingEvent.Finished end -> handleFinish(end, nowMillis);
      case RoutingEvent.BackendReported reported ->
          handleBackendReport(reported.report(), nowMillis);
      case RoutingEvent.BackendRemoved gone -> handleBackendRemoved(gone.server());
      case RoutingEvent.SharesReported reported ->
          handleSharesReported(reported.host(), reported.update());
      case RoutingEvent.HostRemoved gone -> handleHostRemoved(gone.host());
      case RoutingEvent.PrefixCached cached -> handlePrefixCached(cached, nowMillis);
      case RoutingEvent.Tick ignored -> handleTick(nowMillis);
    }
    return decisions;
  }

  /** Returns the number of requests that wait. */
  public int queued() {
    return queue.size();
  }

  /** Returns what to tell the other hosts now of what this host has open on each server. */
  public ShareUpdate nextShareUpdate(long nowMillis) {
    return shareUpdatePolicy.nextUpdate(ownShares(), nowMillis);
  }

  private List<HostShare> ownShares() {
    return backends.values().stream()
        .filter(server -> server.ownOpenCount() > 0)
        .map(server -> new HostShare(server.name(), server.ownOpenCount(), server.ownForecast()))
        .toList();
  }

  /** Returns figures of each server for the state dump, by name. */
  public Map<String, BackendLoadView> backendLoadViews(long nowMillis) {
    Map<String, BackendLoadView> views = new TreeMap<>();
    for (BackendServerState server : backends.values()) {
      views.put(
          server.name(),
          new BackendLoadView(
              server.usable(),
              ejector.isEjected(server.name(), nowMillis),
              server.ownOpenCount(),
              server.totalOpenCount(),
              server.report().blocksTotal(),
              server.report().blocksUsed(),
              server.forecast().peakBlocks(new MemoryForecast(), 2, server.unattributedBlocks()),
              server.meanTokenGapMillis(),
              nowMillis - server.report().sentAtMillis()));
    }
    return views;
  }

  /** Returns figures of each class and model for the state dump. */
  public Map<String, ClassView> classViews() {
    Map<String, ClassView> views = new TreeMap<>();
    statsByClass.forEach(
        (key, value) ->
            views.put(
                key.className() + "/" + key.model(),
                new ClassView(
                    value.arrivalsPerSecond(),
                    value.dispatchesPerSecond(),
                    value.missShare(),
                    value.outputLengths.meanRemainingTokens(0),
                    value.outputLengths.outputCount())));
    return views;
  }

  /** Figures of one server as the core sees it; blocks are memory blocks. */
  public record BackendLoadView(
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

  private void handleArrival(RequestAttributes request, long nowMillis) {
    ClassStats classStats = statsOf(request, nowMillis);
    classStats.advanceWindow(nowMillis);
    classStats.recordArrival(request);
    if (queue.size() >= MAX_QUEUED) {
      shed(request, RoutingDecision.ShedReason.QUEUE_FULL, nowMillis);
      return;
    }
    double pressure = MAX_DUE_TIME_REDUCTION * classStats.missShare();
    long target = (long) (request.targets().firstReplyMillis() * (1 - pressure));
    queue.add(request, request.arrivedAtMillis() + Math.max(1, target));
    // What waits already found no server, and nothing else has changed since.
    tryDispatch(request, backends.values(), nowMillis);
  }

  private void handleProgress(long id, int tokens, long nowMillis) {
    BackendServerState server = backendByRequestId.get(id);
    if (server != null) {
      server.recordProgress(id, tokens, nowMillis);
    }
  }

  private void handleFinish(RoutingEvent.Finished end, long nowMillis) {
    long id = end.requestId();
    BackendServerState server = backendByRequestId.remove(id);
    if (server == null) {
      return;
    }
    BackendServerState.OpenRequest open = server.openRequest(id);
    server.removeOpenRequest(id);
    switch (end.ending()) {
      case COMPLETED -> {
        ejector.recordSuccess(server.name());
        if (open != null) {
          statsOf(open.request, nowMillis).outputLengths.record(end.tokens());
        }
      }
      case FAILED, REFUSED ->
          ejector.recordFailure(server.name(), peersOf(server, open), nowMillis);
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
    return backends.values().stream()
        .filter(other -> other.serves(model))
        .map(BackendServerState::name)
        .toList();
  }

  private void handleBackendReport(BackendReport report, long nowMillis) {
    BackendServerState server = backends.get(report.name());
    boolean known =
        server != null && server.usable() && server.report().models().equals(report.models());
    if (server == null) {
      server = new BackendServerState(report);
      backends.put(report.name(), server);
    }
    server.updateReport(report);
    if (!known) {
      recountBackends();
    }
    dispatchQueue(List.of(server), nowMillis);
  }

  private void handleBackendRemoved(String name) {
    BackendServerState server = backends.get(name);
    if (server == null) {
      return;
    }
    server.setUsable(false);
    recountBackends();
    if (server.ownOpenCount() == 0) {
      backends.remove(name);
      ejector.remove(name);
    }
  }

  private void handleSharesReported(String host, ShareUpdate update) {
    timeSlots.add(host);
    Map<String, HostShare> byServer = new HashMap<>();
    update.shares().forEach(share -> byServer.put(share.server(), share));
    for (BackendServerState server : backends.values()) {
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

  private void handleHostRemoved(String host) {
    timeSlots.remove(host);
    backends.values().forEach(server -> server.removeShare(host));
  }

  private void handlePrefixCached(RoutingEvent.PrefixCached cached, long nowMillis) {
    BackendServerState server = backends.get(cached.server());
    if (server != null) {
      server.recordPrefix(cached.prefixHash(), cached.present(), nowMillis);
    }
  }

  private void handleTick(long nowMillis) {
    statsByClass.values().forEach(classStats -> classStats.advanceWindow(nowMillis));
    backends.values().forEach(BackendServerState::refreshForecast);
    backends.values().removeIf(server -> !server.usable() && server.ownOpenCount() == 0);
    queue.postponeLate(nowMillis);
    shedUnservable(nowMillis);
    dispatchQueue(backends.values(), nowMillis);
  }

  // ---- decisions --------------------------------------------------------------------------------

  /** Tries the waiting requests in order on servers on which something has changed. */
  private void dispatchQueue(Collection<BackendServerState> changed, long nowMillis) {
    Map<String, Integer> failedTries = new HashMap<>();
    Map<String, Long> reserved = new HashMap<>();
    for (RequestQueue.Entry waiting : queue.inDueOrder()) {
      RequestAttributes request = waiting.request();
      int tries = failedTries.getOrDefault(request.model(), 0);
      long limit = reserved.getOrDefault(request.model(), Long.MAX_VALUE);
      if (tries >= MAX_FAILED_PLACEMENTS_PER_MODEL
          || request.targets().firstReplyMillis() >= limit) {
        continue;
      }
      if (!tryDispatch(request, changed, nowMillis)) {
        failedTries.merge(request.model(), 1, Integer::sum);
        if (waiting.isLate(nowMillis)) {
          reserved.merge(request.model(), request.targets().firstReplyMillis(), Math::min);
        }
      }
    }
  }

  private boolean tryDispatch(
      RequestAttributes request, Collection<BackendServerState> among, long nowMillis) {
    List<BackendServerState> able = eligibleBackends(request, among, nowMillis);
    OutputLengths lengths = lengthsOf(request, nowMillis);
    BackendChooser.ChoiceInput candidate =
        new BackendChooser.ChoiceInput(request, lengths, headroomBlocks(request));
    BackendChooser.Choice choice = chooser.choose(candidate, able, nowMillis);
    if (choice == null) {
      return false;
    }
    BackendServerState server = choice.backend();
    int running = server.totalOpenCount();
    queue.remove(request.id());
    backendByRequestId.put(request.id(), server);
    server.addOpenRequest(new BackendServerState.OpenRequest(request, lengths, nowMillis));
    long slack = request.firstReplyDueMillis() - nowMillis;
    statsOf(request, nowMillis).recordDispatch(slack < 0);
    decisions.add(
        new RoutingDecision.Dispatch(
            request.id(),
            server.name(),
            priorityOf(request),
            new RoutingDecision.DispatchReason(
                policy.policyName(),
                choice.admissibleCount(),
                slack,
                queue.size(),
                choice.peakMemoryShare(),
                running)));
    return true;
  }

  private List<BackendServerState> eligibleBackends(
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
    boolean allTried = among.size() == backends.size();
    return able.isEmpty() && allTried ? excluded : able;
  }

  /** Returns the rank of the class by its first-reply target: the tightest is 0. */
  private int priorityOf(RequestAttributes request) {
    long own = request.targets().firstReplyMillis();
    return (int)
        statsByClass.values().stream()
            .mapToLong(other -> other.targets().firstReplyMillis())
            .filter(target -> target < own)
            .distinct()
            .count();
  }

  /** Returns the memory to leave free on each server for the next arrivals of tighter classes. */
  private double headroomBlocks(RequestAttributes request) {
    int serverCount = backendCountByModel.getOrDefault(request.model(), 0);
    if (!(policy instanceof Policy.Forecast forecast) || serverCount == 0) {
      return 0;
    }
    ForecastOptions options = forecast.options();
    double blocks = 0;
    for (Map.Entry<ClassKey, ClassStats> entry : statsByClass.entrySet()) {
      ClassStats other = entry.getValue();
      boolean tighter =
          other.targets().firstReplyMillis() < request.targets().firstReplyMillis()
              && entry.getKey().model().equals(request.model());
      if (tighter) {
        double arrivals = other.arrivalsPerSecond() * options.headroomMillis() / 1_000;
        blocks += arrivals * timeSlots.count() * other.expectedFinalBlocks();
      }
    }
    return blocks / serverCount;
  }

  private void shedUnservable(long nowMillis) {
    if (!(policy instanceof Policy.Forecast forecast) || !forecast.options().shedding()) {
      return;
    }
    for (RequestQueue.Entry waiting : queue.inDueOrder()) {
      RequestAttributes request = waiting.request();
      if (!isServed(request.model()) && waiting.isLate(nowMillis)) {
        queue.remove(request.id());
        shed(request, RoutingDecision.ShedReason.NO_SERVER, nowMillis);
      } else if (cannotMeetResponseTarget(request, nowMillis)) {
        queue.remove(request.id());
        shed(request, RoutingDecision.ShedReason.TARGET_UNREACHABLE, nowMillis);
      }
    }
  }

  private void recountBackends() {
    backendCountByModel.clear();
    for (BackendServerState server : backends.values()) {
      if (server.usable()) {
        server.report().models().forEach(m -> backendCountByModel.merge(m, 1, Integer::sum));
      }
    }
  }

  private boolean isServed(String model) {
    return backendCountByModel.containsKey(model);
  }

  /** Returns whether an answer of ordinary length cannot be whole in time any more. */
  private boolean cannotMeetResponseTarget(RequestAttributes request, long nowMillis) {
    double target = request.targets().gapMillis();
    double gap = Math.min(medianTokenGapMillis(request.model()), target);
    double run = lengthsOf(request, nowMillis).meanRemainingTokens(0) * gap;
    double shortestRun = Math.min(run, 0.5 * request.targets().answerMillis());
    return nowMillis + shortestRun > request.responseDueMillis();
  }

  private double medianTokenGapMillis(String model) {
    double[] gaps =
        backends.values().stream()
            .filter(server -> server.serves(model) && server.meanTokenGapMillis() > 0)
            .mapToDouble(BackendServerState::meanTokenGapMillis)
            .sorted()
            .toArray();
    return gaps.length == 0 ? 0 : gaps[gaps.length / 2];
  }

  private void shed(RequestAttributes request, RoutingDecision.ShedReason reason, long nowMillis) {
    ClassStats classStats = statsOf(request, nowMillis);
    classStats.recordShed();
    double rate = Math.max(0.2, classStats.dispatchesPerSecond());
    long retryAfter =
        Math.clamp(
            (long) (queue.size() * 1_000 / rate), MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
    decisions.add(new RoutingDecision.Shed(request.id(), retryAfter, reason));
  }

  private ClassStats statsOf(RequestAttributes request, long nowMillis) {
    return statsByClass.computeIfAbsent(
        new ClassKey(request.className(), request.model()),
        key -> new ClassStats(request.targets(), nowMillis));
  }

  private OutputLengths lengthsOf(RequestAttributes request, long nowMillis) {
    boolean oracle = policy instanceof Policy.Forecast forecast && forecast.options().oracle();
    return oracle ? actualLengths.apply(request.id()) : statsOf(request, nowMillis).outputLengths;
  }
}
