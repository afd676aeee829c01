package org.curranthaven.internal.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.curranthaven.internal.catalog.EngineCapabilities;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.jspecify.annotations.Nullable;

/**
 * Decides which of the requests that compete for the memory of engines may take some now: keeps the
 * memory that more urgent ones are expected to need, and ranks clients that come back as told.
 * Without {@link DispatchFeatures#reservesForUrgent}, and for plain services, it changes nothing.
 * Not thread-safe.
 */
final class Admission {
  /** Change of a reserve that is reported, as a share of the engines' memory. */
  private static final double REPORTED_CHANGE_SHARE = 0.05;

  private final boolean active;
  private final Backends backends;
  private final CapacityRules capacityRules;
  private final QueueTimeForecast forecast;
  private final EngineSpeeds speeds;
  private final OverloadGauge overloadGauge;
  private final UrgentReserve reserve = new UrgentReserve();
  private final MemoryInUse memoryInUse = new MemoryInUse();
  private final ReturningClients returning = new ReturningClients();
  private final Map<RequestKind, ReserveChange> reported = new HashMap<>();
  private List<ReserveChange> changes = new ArrayList<>();

  Admission(
      DispatchFeatures features,
      Backends backends,
      CapacityRules capacityRules,
      QueueTimeForecast forecast,
      EngineSpeeds speeds,
      OverloadGauge overloadGauge) {
    this.active = features.reservesForUrgent();
    this.backends = backends;
    this.capacityRules = capacityRules;
    this.forecast = forecast;
    this.speeds = speeds;
    this.overloadGauge = overloadGauge;
  }

  private boolean concerns(PlacementRequest request) {
    return active && request.getEngine();
  }

  // ---- events -----------------------------------------------------------------------------------

  /** Records the arrival of a request; one that is sent again counts once towards the demand. */
  void recordArrival(PlacementRequest request, long nowMillis) {
    if (!concerns(request) || returning.recordArrival(request, nowMillis)) {
      return;
    }
    double outputMillis =
        forecast.outputTokens(request) * speeds.millisPerOutputToken(request.getService());
    double promptMillis =
        request.getPromptTokens() * speeds.millisPerPromptToken(request.getService());
    reserve.recordArrival(
        RequestKind.of(request),
        forecast.neededMemoryTokens(request),
        promptMillis + outputMillis,
        nowMillis);
  }

  /** Records that a request was placed. */
  void recordPlacement(RunningRequest running, long nowMillis) {
    if (concerns(running.request)) {
      memoryInUse.add(running, nowMillis);
      returning.recordPlacement(running.request);
    }
  }

  /** Records that a running request ended. */
  void recordEnd(RunningRequest running, long nowMillis) {
    MemoryInUse.Use use = memoryInUse.remove(running.id);
    if (use != null && running.outputTokens() > 0) {
      reserve.recordEnd(use.kind(), running.memoryTokens(), nowMillis - use.sinceMillis());
    }
  }

  /** Records that a request no longer runs on any engine, whether its end was recorded or not. */
  void recordGone(RequestId requestId) {
    memoryInUse.remove(requestId);
  }

  /** Records that a request was rejected for lack of capacity. */
  void recordRejection(PlacementRequest request, long retryAfterMillis, long nowMillis) {
    if (concerns(request)) {
      returning.recordRejection(
          request, forecast.neededMemoryTokens(request), retryAfterMillis, nowMillis);
    }
  }

  /** Forgets what is outdated, and finds the reserves that have ended. */
  void tick(long nowMillis) {
    returning.tick(nowMillis);
    List.copyOf(reported.keySet())
        .forEach(kind -> recordReserve(kind, needOfMoreUrgent(kind, nowMillis), nowMillis));
  }

  // ---- order ------------------------------------------------------------------------------------

  /** Returns whether the client of the request came back as told. */
  boolean isReturned(PlacementRequest request) {
    return concerns(request) && returning.firstArrivalMillis(request) != null;
  }

  /**
   * Returns the time by which a request is ranked: clients that came back as told before others,
   * the oldest first.
   *
   * @param otherwiseMillis rank of a request that did not arrive before
   */
  long rankMillis(PlacementRequest request, long otherwiseMillis) {
    Long firstArrivalMillis = concerns(request) ? returning.firstArrivalMillis(request) : null;
    return firstArrivalMillis == null
        ? otherwiseMillis
        : Math.min(otherwiseMillis, firstArrivalMillis);
  }

  /** Returns whether a request is served before the first one in the queue of its priority. */
  boolean ranksBefore(PlacementRequest request, QueuedRequest first) {
    return isReturned(request)
        && request.getPriority() == first.request().getPriority()
        && rankMillis(request, Long.MAX_VALUE) < first.rankMillis();
  }

  /**
   * Returns the queued request that is served first by the memory that workspaces use; null while
   * the service is not overloaded, since the order of the queue applies then.
   */
  @Nullable QueuedRequest firstByUse(ServiceQueue queue, String service) {
    if (!active || backends.engineOf(service) == null || !overloadGauge.isOverloaded(service)) {
      return null;
    }
    ToDoubleFunction<String> used = workspace -> memoryInUse.tokensOf(service, workspace);
    return queue.firstOfLeastUser(used);
  }

  // ---- capacity ---------------------------------------------------------------------------------

  /** Returns what is ahead of a request that has just arrived or expired in the queue. */
  QueueAhead ahead(PlacementRequest request, ServiceQueue queue, long nowMillis) {
    int priority = request.getPriority();
    int serviceRequests = queue.byRank().size();
    ServiceQueue.Sum upTo = queue.atLeastAsUrgentAs(priority);
    if (!concerns(request)) {
      return new QueueAhead(serviceRequests, upTo.requests(), upTo.memoryTokens(), 0);
    }
    RequestKind kind = RequestKind.of(request);
    UrgentReserve.Need need = needOfMoreUrgent(kind, nowMillis);
    double aheadTokens =
        queue.moreUrgentThan(priority).memoryTokens()
            + sameKindTokens(request, queue)
            + missing(kind, need);
    int fromPriority = need.isNone() ? 0 : priority;
    return new QueueAhead(serviceRequests, upTo.requests(), aheadTokens, fromPriority);
  }

  /**
   * Returns the memory for requests of the same kind that are served before the request: all that
   * wait or will come back, or under overload as many of each workspace as of its own.
   */
  private double sameKindTokens(PlacementRequest request, ServiceQueue queue) {
    int priority = request.getPriority();
    if (isReturned(request)) {
      return queue.returned(priority).memoryTokens();
    }
    RequestKind kind = RequestKind.of(request);
    double allTokens =
        queue.atLeastAsUrgentAs(priority).memoryTokens()
            - queue.moreUrgentThan(priority).memoryTokens()
            + returning.awaitedTokens(kind);
    if (!overloadGauge.isOverloaded(kind.service())) {
      return allTokens;
    }
    double ownTokens =
        queue.of(priority, request.getWorkspace()).memoryTokens()
            + returning.awaitedTokens(kind, request.getWorkspace());
    int workspaces =
        Math.max(1, Math.max(queue.workspaces(priority), returning.awaitedWorkspaces(kind)));
    return Math.min(allTokens, ownTokens * workspaces);
  }

  /** Returns the memory that the reserve lacks. */
  private double missing(RequestKind kind, UrgentReserve.Need need) {
    if (need.isNone()) {
      return 0;
    }
    double freeTokens = 0;
    for (BackendState backend : backends.notLeaving(kind.service()).toList()) {
      freeTokens += capacityRules.freeTokens(backend, backends.engineOf(kind.service()));
    }
    return Math.max(0, need.memoryTokens() - memoryInUse.tokensOfMoreUrgent(kind) - freeTokens);
  }

  private UrgentReserve.Need needOfMoreUrgent(RequestKind kind, long nowMillis) {
    return reserve.needOfMoreUrgent(kind, capacityTokens(kind.service()), nowMillis);
  }

  /** Returns the memory of all engines of the service that this host may use. */
  private double capacityTokens(String service) {
    EngineCapabilities engine = backends.engineOf(service);
    return engine == null
        ? 0
        : (double) backends.notLeaving(service).count()
            * engine.memoryTokens()
            / capacityRules.capacityShares();
  }

  /**
   * Returns the candidates that a request may use without taking memory that is kept for more
   * urgent ones. Memory is counted in places that hold one urgent request each, since free memory
   * that is spread in smaller pieces over the engines holds none.
   */
  List<BackendState> withoutReserved(
      List<BackendState> candidates, RunningRequest running, long nowMillis) {
    PlacementRequest request = running.request;
    RequestKind kind = RequestKind.of(request);
    EngineCapabilities engine = backends.engineOf(kind.service());
    if (!concerns(request) || candidates.isEmpty() || engine == null) {
      return candidates;
    }
    if (isKeptForReturning(running, engine, nowMillis)) {
      return List.of();
    }
    UrgentReserve.Need need = needOfMoreUrgent(kind, nowMillis);
    recordReserve(kind, need, nowMillis);
    double missingTokens = need.memoryTokens() - memoryInUse.tokensOfMoreUrgent(kind);
    if (missingTokens <= 0) {
      return candidates;
    }
    int neededPlaces = (int) Math.ceil(missingTokens / need.requestTokens());
    int places =
        backends
            .notLeavingFor(request)
            .mapToInt(
                backend -> capacityRules.lastingPlaces(backend, engine, need.requestTokens(), 0))
            .sum();
    int sparePlaces = places - neededPlaces;
    return candidates.stream()
        .filter(
            backend ->
                capacityRules.lastingPlaces(backend, engine, need.requestTokens(), 0)
                        - capacityRules.lastingPlaces(
                            backend, engine, need.requestTokens(), running.finalMemoryTokens())
                    <= sparePlaces)
        .toList();
  }

  /**
   * Returns whether the free memory is needed by clients of the same kind that were told to come
   * back about now.
   */
  private boolean isKeptForReturning(
      RunningRequest running, EngineCapabilities engine, long nowMillis) {
    PlacementRequest request = running.request;
    double dueTokens = returning.dueTokens(RequestKind.of(request), nowMillis);
    if (dueTokens <= 0 || isReturned(request)) {
      return false;
    }
    double freeTokens =
        backends
            .notLeavingFor(request)
            .mapToDouble(backend -> capacityRules.freeTokens(backend, engine))
            .sum();
    return freeTokens < dueTokens + running.memoryTokens();
  }

  // ---- reports ----------------------------------------------------------------------------------

  private void recordReserve(RequestKind kind, UrgentReserve.Need need, long nowMillis) {
    ReserveChange last = reported.get(kind);
    double lastTokens = last == null ? 0 : last.reservedTokens();
    boolean startsOrEnds = need.isNone() != (lastTokens <= 0);
    double changedTokens = Math.abs(need.memoryTokens() - lastTokens);
    if (!startsOrEnds && changedTokens < REPORTED_CHANGE_SHARE * capacityTokens(kind.service())) {
      return;
    }
    ReserveChange change =
        new ReserveChange(
            kind.service(),
            kind.priority(),
            need.memoryTokens(),
            memoryInUse.tokensOfMoreUrgent(kind),
            need.ageMillis(),
            nowMillis);
    changes.add(change);
    if (need.isNone()) {
      reported.remove(kind);
    } else {
      reported.put(kind, change);
    }
  }

  /** Returns the reserves as they were reported last. */
  Collection<ReserveChange> reported() {
    return reported.values();
  }

  /** Returns and clears the changes of reserves since the last invocation. */
  List<ReserveChange> drainChanges() {
    if (changes.isEmpty()) {
      return List.of();
    }
    List<ReserveChange> drained = changes;
    changes = new ArrayList<>();
    return drained;
  }
}
