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
 * Decides when and on which backend server each request runs.
 *
 * <p>The core owns no clock, thread or socket: it maps events to decisions, and the same events
 * with the same random source always give the same decisions.
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
  /** Largest number of queued requests; further requests are shed. */
  public static final int MAX_QUEUED = 20_000;

  /**
   * Number of queued requests for one model that may find no backend server before a pass over the
   * queue skips the remaining ones.
   */
  private static final int MAX_FAILED_PLACEMENTS_PER_MODEL = 16;

  /**
   * Largest share by which the first-reply target is shortened when queueing a request of a class
   * that misses its target; the reduction is proportional to the class's share of misses.
   */
  private static final double MAX_DUE_TIME_REDUCTION = 0.5;

  /** Shortest retry delay given to the caller of a shed request, in milliseconds. */
  private static final long MIN_RETRY_AFTER_MILLIS = 500;

  /** Longest retry delay given to the caller of a shed request, in milliseconds. */
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

  /** Creates the core of a host, where output lengths are not known in advance. */
  public RoutingCore(String host, Policy policy, RandomGenerator random) {
    this(host, policy, random, id -> new OutputLengths.Known(1));
  }

  /**
   * Creates a core for an experiment.
   *
   * @param actualLengths output lengths by request number, used only by the oracle policy
   */
  public RoutingCore(
      String host,
      Policy policy,
      RandomGenerator random,
      LongFunction<OutputLengths> actualLengths) {
    this.policy = policy;
    this.timeSlots = new HostTimeSlots(host);
    this.chooser = new BackendChooser(policy, random, timeSlots);
    this.actualLengths = actualLengths;
  }

  /** Handles one event and returns the decisions to carry out, in order. */
  public List<RoutingDecision> handle(RoutingEvent event, long nowMillis) {
    decisions = new ArrayList<>();
    switch (event) {
      case RoutingEvent.Arrived arrival -> handleArrival(arrival.request(), nowMillis);
      case RoutingEvent.Abandoned abandoned -> queue.remove(abandoned.requestId());
      case RoutingEvent.Progressed progress ->
          handleProgress(progress.requestId(), progress.tokens(), nowMillis);
      case RoutingEvent.Finished finished -> handleFinish(finished, nowMillis);
      case RoutingEvent.BackendReported reported ->
          handleBackendReport(reported.report(), nowMillis);
      case RoutingEvent.BackendRemoved removed -> handleBackendRemoved(removed.server());
      case RoutingEvent.SharesReported reported ->
          handleSharesReported(reported.host(), reported.update());
      case RoutingEvent.HostRemoved removed -> handleHostRemoved(removed.host());
      case RoutingEvent.PrefixCached prefix -> handlePrefixCached(prefix, nowMillis);
      case RoutingEvent.Tick ignored -> handleTick(nowMillis);
    }
    return decisions;
  }

  /** Returns the number of queued requests. */
  public int queued() {
    return queue.size();
  }

  /**
   * Returns the update of this host's open requests to send to the other hosts now, and records it
   * as sent.
   */
  public ShareUpdate nextShareUpdate(long nowMillis) {
    return shareUpdatePolicy.nextUpdate(ownShares(), nowMillis);
  }

  private List<HostShare> ownShares() {
    return backends.values().stream()
        .filter(backend -> backend.ownOpenCount() > 0)
        .map(
            backend -> new HostShare(backend.name(), backend.ownOpenCount(), backend.ownForecast()))
        .toList();
  }

  /** Returns load figures for the state dump, by backend server name. */
  public Map<String, BackendLoadView> backendLoadViews(long nowMillis) {
    Map<String, BackendLoadView> views = new TreeMap<>();
    for (BackendServerState backend : backends.values()) {
      views.put(
          backend.name(),
          new BackendLoadView(
              backend.usable(),
              ejector.isEjected(backend.name(), nowMillis),
              backend.ownOpenCount(),
              backend.totalOpenCount(),
              backend.report().blocksTotal(),
              backend.report().blocksUsed(),
              backend.forecast().peakBlocks(new MemoryForecast(), 2, backend.unattributedBlocks()),
              backend.meanTokenGapMillis(),
              nowMillis - backend.report().sentAtMillis()));
    }
    return views;
  }

  /** Returns statistics for the state dump, by class and model. */
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

  /**
   * Load of one backend server as the core sees it.
   *
   * @param usable whether the backend server is available
   * @param ejected whether it is ejected as an outlier
   * @param ownOpen number of this host's open requests
   * @param counted estimated number of open requests of all hosts
   * @param blocksTotal total number of memory blocks
   * @param blocksUsedReported number of memory blocks in use as last reported
   * @param blocksPeakForecast forecast peak memory use, in blocks
   * @param gapMillis moving average of the time between two tokens; 0 if not yet known
   * @param reportAgeMillis time since the last report was sent
   */
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

  /**
   * Statistics of one service class on one model.
   *
   * @param missShare share of recent requests that were dispatched late or shed
   * @param outputsSeen number of outputs on which the length distribution is based
   */
  public record ClassView(
      double arrivalsPerSecond,
      double dispatchesPerSecond,
      double missShare,
      double meanOutputTokens,
      long outputsSeen) {}

  // ---- event handlers ---------------------------------------------------------------------------

  private void handleArrival(RequestAttributes request, long nowMillis) {
    ClassStats classStats = statsOf(request, nowMillis);
    classStats.advanceWindow(nowMillis);
    classStats.recordArrival(request);
    if (queue.size() >= MAX_QUEUED) {
      shed(request, RoutingDecision.ShedReason.QUEUE_FULL, nowMillis);
      return;
    }
    double reduction = MAX_DUE_TIME_REDUCTION * classStats.missShare();
    long targetMillis = (long) (request.targets().firstReplyMillis() * (1 - reduction));
    queue.add(request, request.arrivedAtMillis() + Math.max(1, targetMillis));
    // Tries only the new request: the others found no backend server, and nothing has changed
    // since.
    tryDispatch(request, backends.values(), nowMillis);
  }

  private void handleProgress(long requestId, int tokens, long nowMillis) {
    BackendServerState backend = backendByRequestId.get(requestId);
    if (backend != null) {
      backend.recordProgress(requestId, tokens, nowMillis);
    }
  }

  private void handleFinish(RoutingEvent.Finished finished, long nowMillis) {
    long requestId = finished.requestId();
    BackendServerState backend = backendByRequestId.remove(requestId);
    if (backend == null) {
      return;
    }
    BackendServerState.OpenRequest openRequest = backend.openRequest(requestId);
    backend.removeOpenRequest(requestId);
    switch (finished.ending()) {
      case COMPLETED -> {
        ejector.recordSuccess(backend.name());
        if (openRequest != null) {
          statsOf(openRequest.request, nowMillis).outputLengths.record(finished.tokens());
        }
      }
      case FAILED, REFUSED ->
          ejector.recordFailure(backend.name(), peersOf(backend, openRequest), nowMillis);
      case CANCELLED -> {}
    }
    dispatchQueue(List.of(backend), nowMillis);
  }

  /** Returns the usable backend servers, this one included, that serve the same model. */
  private Collection<String> peersOf(
      BackendServerState backend, BackendServerState.@Nullable OpenRequest openRequest) {
    String model =
        openRequest == null
            ? backend.report().models().stream().findFirst().orElse("")
            : openRequest.request.model();
    return backends.values().stream()
        .filter(other -> other.serves(model))
        .map(BackendServerState::name)
        .toList();
  }

  private void handleBackendReport(BackendReport report, long nowMillis) {
    BackendServerState backend = backends.get(report.name());
    boolean unchanged =
        backend != null && backend.usable() && backend.report().models().equals(report.models());
    if (backend == null) {
      backend = new BackendServerState(report);
      backends.put(report.name(), backend);
    }
    backend.updateReport(report);
    if (!unchanged) {
      recountBackends();
    }
    dispatchQueue(List.of(backend), nowMillis);
  }

  private void handleBackendRemoved(String name) {
    BackendServerState backend = backends.get(name);
    if (backend == null) {
      return;
    }
    backend.setUsable(false);
    recountBackends();
    if (backend.ownOpenCount() == 0) {
      backends.remove(name);
      ejector.remove(name);
    }
  }

  private void handleSharesReported(String host, ShareUpdate update) {
    timeSlots.add(host);
    Map<String, HostShare> shareByBackend = new HashMap<>();
    update.shares().forEach(share -> shareByBackend.put(share.server(), share));
    for (BackendServerState backend : backends.values()) {
      HostShare share = shareByBackend.get(backend.name());
      if (share == null && !update.full()) {
        continue;
      }
      if (share == null || share.running() == 0) {
        backend.removeShare(host);
      } else {
        backend.setShare(host, share);
      }
    }
  }

  private void handleHostRemoved(String host) {
    timeSlots.remove(host);
    backends.values().forEach(backend -> backend.removeShare(host));
  }

  private void handlePrefixCached(RoutingEvent.PrefixCached event, long nowMillis) {
    BackendServerState backend = backends.get(event.server());
    if (backend != null) {
      backend.recordPrefix(event.prefixHash(), event.present(), nowMillis);
    }
  }

  private void handleTick(long nowMillis) {
    statsByClass.values().forEach(classStats -> classStats.advanceWindow(nowMillis));
    backends.values().forEach(BackendServerState::refreshForecast);
    backends.values().removeIf(backend -> !backend.usable() && backend.ownOpenCount() == 0);
    queue.postponeLate(nowMillis);
    shedUnservable(nowMillis);
    dispatchQueue(backends.values(), nowMillis);
  }

  // ---- decisions --------------------------------------------------------------------------------

  /**
   * Tries to dispatch the queued requests in order of due time to backend servers whose state has
   * changed.
   *
   * <p>After a late request found no backend server, the capacity for its model is reserved:
   * requests for the same model with the same or a longer first-reply target are skipped.
   */
  private void dispatchQueue(Collection<BackendServerState> changed, long nowMillis) {
    Map<String, Integer> failuresByModel = new HashMap<>();
    Map<String, Long> reservedTargetByModel = new HashMap<>();
    for (RequestQueue.Entry entry : queue.inDueOrder()) {
      RequestAttributes request = entry.request();
      int failures = failuresByModel.getOrDefault(request.model(), 0);
      long reservedTarget = reservedTargetByModel.getOrDefault(request.model(), Long.MAX_VALUE);
      if (failures >= MAX_FAILED_PLACEMENTS_PER_MODEL
          || request.targets().firstReplyMillis() >= reservedTarget) {
        continue;
      }
      if (!tryDispatch(request, changed, nowMillis)) {
        failuresByModel.merge(request.model(), 1, Integer::sum);
        if (entry.isLate(nowMillis)) {
          reservedTargetByModel.merge(
              request.model(), request.targets().firstReplyMillis(), Math::min);
        }
      }
    }
  }

  /** Dispatches the request if the policy chooses one of the backend servers. */
  private boolean tryDispatch(
      RequestAttributes request, Collection<BackendServerState> candidates, long nowMillis) {
    List<BackendServerState> eligible = eligibleBackends(request, candidates, nowMillis);
    OutputLengths outputLengths = lengthsOf(request, nowMillis);
    BackendChooser.ChoiceInput choiceInput =
        new BackendChooser.ChoiceInput(request, outputLengths, headroomBlocks(request));
    BackendChooser.Choice choice = chooser.choose(choiceInput, eligible, nowMillis);
    if (choice == null) {
      return false;
    }
    BackendServerState backend = choice.backend();
    int openCount = backend.totalOpenCount();
    queue.remove(request.id());
    backendByRequestId.put(request.id(), backend);
    backend.addOpenRequest(new BackendServerState.OpenRequest(request, outputLengths, nowMillis));
    long slackMillis = request.firstReplyDueMillis() - nowMillis;
    statsOf(request, nowMillis).recordDispatch(slackMillis < 0);
    decisions.add(
        new RoutingDecision.Dispatch(
            request.id(),
            backend.name(),
            priorityOf(request),
            new RoutingDecision.DispatchReason(
                policy.policyName(),
                choice.admissibleCount(),
                slackMillis,
                queue.size(),
                choice.peakMemoryShare(),
                openCount)));
    return true;
  }

  /**
   * Returns the backend servers that may run the request. Those that the request excludes are
   * returned only if no other backend server is eligible.
   */
  private List<BackendServerState> eligibleBackends(
      RequestAttributes request, Collection<BackendServerState> candidates, long nowMillis) {
    List<BackendServerState> eligible = new ArrayList<>();
    List<BackendServerState> excluded = new ArrayList<>();
    for (BackendServerState backend : candidates) {
      if (!backend.serves(request.model()) || ejector.isEjected(backend.name(), nowMillis)) {
        continue;
      }
      if (request.excludedServers().contains(backend.name())) {
        excluded.add(backend);
      } else {
        eligible.add(backend);
      }
    }
    // If only some backend servers were considered, a non-excluded one may exist among the rest.
    boolean allConsidered = candidates.size() == backends.size();
    return eligible.isEmpty() && allConsidered ? excluded : eligible;
  }

  /** Returns the rank of the class by its first-reply target: the shortest target has rank 0. */
  private int priorityOf(RequestAttributes request) {
    long ownTarget = request.targets().firstReplyMillis();
    return (int)
        statsByClass.values().stream()
            .mapToLong(other -> other.targets().firstReplyMillis())
            .filter(target -> target < ownTarget)
            .distinct()
            .count();
  }

  /**
   * Returns the memory to leave free on each backend server for the next arrivals of classes with
   * shorter first-reply targets, in blocks.
   */
  private double headroomBlocks(RequestAttributes request) {
    int backendCount = backendCountByModel.getOrDefault(request.model(), 0);
    if (!(policy instanceof Policy.Forecast forecast) || backendCount == 0) {
      return 0;
    }
    ForecastOptions options = forecast.options();
    double blocks = 0;
    for (Map.Entry<ClassKey, ClassStats> entry : statsByClass.entrySet()) {
      ClassStats other = entry.getValue();
      boolean shorterTarget =
          other.targets().firstReplyMillis() < request.targets().firstReplyMillis()
              && entry.getKey().model().equals(request.model());
      if (shorterTarget) {
        double expectedArrivals = other.arrivalsPerSecond() * options.headroomMillis() / 1_000;
        blocks += expectedArrivals * timeSlots.count() * other.expectedFinalBlocks();
      }
    }
    return blocks / backendCount;
  }

  /**
   * Sheds late requests whose model no backend server serves, and requests that can no longer meet
   * their response target.
   */
  private void shedUnservable(long nowMillis) {
    if (!(policy instanceof Policy.Forecast forecast) || !forecast.options().shedding()) {
      return;
    }
    for (RequestQueue.Entry entry : queue.inDueOrder()) {
      RequestAttributes request = entry.request();
      if (!isServed(request.model()) && entry.isLate(nowMillis)) {
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
    for (BackendServerState backend : backends.values()) {
      if (backend.usable()) {
        backend
            .report()
            .models()
            .forEach(model -> backendCountByModel.merge(model, 1, Integer::sum));
      }
    }
  }

  private boolean isServed(String model) {
    return backendCountByModel.containsKey(model);
  }

  /**
   * Returns whether a response of average length can no longer be complete within the target. The
   * generation is assumed to take at most half of the response target.
   */
  private boolean cannotMeetResponseTarget(RequestAttributes request, long nowMillis) {
    double targetGapMillis = request.targets().gapMillis();
    double gapMillis = Math.min(medianTokenGapMillis(request.model()), targetGapMillis);
    double generationMillis = lengthsOf(request, nowMillis).meanRemainingTokens(0) * gapMillis;
    double minGenerationMillis = Math.min(generationMillis, 0.5 * request.targets().answerMillis());
    return nowMillis + minGenerationMillis > request.responseDueMillis();
  }

  /** Returns the median of the backend servers' token gaps; 0 if none is known. */
  private double medianTokenGapMillis(String model) {
    double[] gaps =
        backends.values().stream()
            .filter(backend -> backend.serves(model) && backend.meanTokenGapMillis() > 0)
            .mapToDouble(BackendServerState::meanTokenGapMillis)
            .sorted()
            .toArray();
    return gaps.length == 0 ? 0 : gaps[gaps.length / 2];
  }

  private void shed(RequestAttributes request, RoutingDecision.ShedReason reason, long nowMillis) {
    ClassStats classStats = statsOf(request, nowMillis);
    classStats.recordShed();
    double dispatchesPerSecond = Math.max(0.2, classStats.dispatchesPerSecond());
    long retryAfterMillis =
        Math.clamp(
            (long) (queue.size() * 1_000 / dispatchesPerSecond),
            MIN_RETRY_AFTER_MILLIS,
            MAX_RETRY_AFTER_MILLIS);
    decisions.add(new RoutingDecision.Shed(request.id(), retryAfterMillis, reason));
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
