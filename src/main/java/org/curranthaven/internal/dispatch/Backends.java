package org.curranthaven.internal.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.EngineCapabilities;
import org.curranthaven.internal.catalog.ServiceSpec;
import org.curranthaven.internal.routing.OutlierEjector;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.jspecify.annotations.Nullable;

/** Backend servers, the requests that run on each, and which are usable. Not thread-safe. */
final class Backends {
  /** Share of a service's servers that may stay ejected when others of it are evacuated. */
  private static final double MAX_EJECTED_SHARE_LEFT = 0.5;

  private final Map<String, BackendState> byId = new LinkedHashMap<>();
  private final Map<RequestId, BackendState> placements = new HashMap<>();
  private final OutlierEjector outlierEjector = new OutlierEjector();
  private final FailureRateEjector failureRateEjector = new FailureRateEjector();
  private final boolean ejecting;
  private final RestTimes restTimes;
  private final Set<String> servicesWithSeveralVersions = new HashSet<>();
  private Catalog catalog = Catalog.empty();
  private Set<String> evacuated = Set.of();

  /**
   * Creates an empty set.
   *
   * @param ejecting whether backend servers that fail more often than their peers are not usable
   * @param restTimes until when backend servers want no requests
   */
  Backends(boolean ejecting, RestTimes restTimes) {
    this.ejecting = ejecting;
    this.restTimes = restTimes;
  }

  void setCatalog(Catalog newCatalog) {
    catalog = newCatalog;
  }

  /**
   * Replaces the data centres whose backend servers take no new requests. Ends the ejections of a
   * service if most of the servers that are left to it are ejected: they were ejected in comparison
   * with servers that take no requests any more.
   */
  void setEvacuated(Set<String> dataCentres, long nowMillis) {
    evacuated = Set.copyOf(dataCentres);
    if (!evacuated.isEmpty()) {
      byId.values().stream()
          .map(BackendState::service)
          .distinct()
          .forEach(service -> endExcessiveEjections(service, nowMillis));
    }
  }

  private void endExcessiveEjections(String service, long nowMillis) {
    List<String> open = notLeaving(service).map(BackendState::id).toList();
    List<String> ejected = open.stream().filter(id -> isEjected(id, nowMillis)).toList();
    if (ejected.size() > MAX_EJECTED_SHARE_LEFT * open.size()) {
      ejected.forEach(outlierEjector::remove);
      ejected.forEach(failureRateEjector::remove);
    }
  }

  private boolean isEjected(String id, long nowMillis) {
    return ejecting
        && (outlierEjector.isEjected(id, nowMillis) || failureRateEjector.isEjected(id, nowMillis));
  }

  Set<String> evacuated() {
    return evacuated;
  }

  /** Returns whether the backend server takes no new requests, by its state or data centre. */
  boolean isClosed(BackendState state) {
    return state.isLeaving() || isEvacuated(state);
  }

  private boolean isEvacuated(BackendState state) {
    return !evacuated.isEmpty() && evacuated.contains(state.registration().getDataCentre());
  }

  /**
   * Returns whether backend servers that are not leaving could serve the request, all of them in
   * evacuated data centres.
   */
  boolean isEvacuated(PlacementRequest request) {
    return !evacuated.isEmpty()
        && notLeavingFor(request).findAny().isEmpty()
        && present(request.getService())
            .filter(this::isEvacuated)
            .filter(state -> RegionBinding.allows(state.registration(), request))
            .anyMatch(state -> VersionBinding.allows(state, request));
  }

  /**
   * Returns the service's backend servers that have not crashed and are not leaving, also those in
   * evacuated data centres.
   */
  Stream<BackendState> present(String service) {
    return byId.values().stream().filter(state -> state.serves(service) && !state.isLeaving());
  }

  /** Returns the capabilities of the service's engines; null for a plain or unknown service. */
  @Nullable EngineCapabilities engineOf(String service) {
    ServiceSpec spec = catalog.service(service);
    return spec == null ? null : spec.engine();
  }

  void register(BackendRecord registration, long nowMillis) {
    BackendState existing = byId.get(registration.getId());
    if (existing == null) {
      byId.put(registration.getId(), new BackendState(registration, nowMillis));
    } else {
      existing.updateRegistration(registration, nowMillis);
    }
    findServicesWithSeveralVersions();
  }

  private void findServicesWithSeveralVersions() {
    servicesWithSeveralVersions.clear();
    Map<String, String> versions = new HashMap<>();
    for (BackendState state : byId.values()) {
      String known = versions.putIfAbsent(state.service(), state.softwareVersion());
      if (known != null && !known.equals(state.softwareVersion())) {
        servicesWithSeveralVersions.add(state.service());
      }
    }
  }

  /** Returns whether the service's backend servers have several software versions. */
  boolean hasSeveralVersions(String service) {
    return servicesWithSeveralVersions.contains(service);
  }

  @Nullable BackendState get(String id) {
    return byId.get(id);
  }

  Collection<BackendState> all() {
    return byId.values();
  }

  /**
   * Returns the service's backend servers that have not crashed, are not leaving and are in no
   * evacuated data centre.
   */
  Stream<BackendState> notLeaving(String service) {
    return byId.values().stream().filter(state -> state.serves(service) && !isClosed(state));
  }

  /** Returns those of them whose software version and region may run the request. */
  Stream<BackendState> notLeavingFor(PlacementRequest request) {
    return notLeaving(request.getService())
        .filter(state -> VersionBinding.allows(state, request))
        .filter(state -> RegionBinding.allows(state.registration(), request));
  }

  /** Returns the backend servers that may run the request, regardless of their capacity. */
  Stream<BackendState> usableFor(RequestId requestId, PlacementRequest request, long nowMillis) {
    Stream<BackendState> candidates =
        notLeavingFor(request)
            .filter(state -> !request.getExcludedList().contains(state.id()))
            .filter(state -> !restTimes.isResting(requestId.gateway(), state.id(), nowMillis));
    return request.getVersionBound()
        ? withoutEjectedPeers(candidates.toList(), nowMillis)
        : candidates.filter(state -> !isEjected(state.id(), nowMillis));
  }

  /** Returns whether any backend server is usable for the request. */
  boolean hasUsableFor(RequestId requestId, PlacementRequest request, long nowMillis) {
    return usableFor(requestId, request, nowMillis).findAny().isPresent();
  }

  /**
   * Returns the candidates that are not ejected, or all if each is: an ejection leaves requests to
   * better peers, and a stream that is bound to a version has no others.
   */
  private Stream<BackendState> withoutEjectedPeers(List<BackendState> candidates, long nowMillis) {
    List<BackendState> usable =
        candidates.stream().filter(state -> !isEjected(state.id(), nowMillis)).toList();
    return usable.isEmpty() ? candidates.stream() : usable.stream();
  }

  /**
   * Returns the time until the first backend server that rests for the request's gateway may run
   * it; empty if none rests.
   */
  OptionalLong restLeftMillis(RequestId requestId, PlacementRequest request, long nowMillis) {
    if (restTimes.isEmpty()) {
      return OptionalLong.empty();
    }
    List<String> candidates =
        notLeavingFor(request)
            .filter(state -> !request.getExcludedList().contains(state.id()))
            .map(BackendState::id)
            .toList();
    return restTimes.shortestLeftMillis(requestId.gateway(), candidates, nowMillis);
  }

  /**
   * Returns the candidate with the lowest cost; null if there is none. The cost function is called
   * once per candidate.
   */
  static @Nullable BackendState cheapest(
      Stream<BackendState> candidates, ToDoubleFunction<BackendState> cost) {
    BackendState cheapest = null;
    double lowestCost = Double.POSITIVE_INFINITY;
    for (Iterator<BackendState> iterator = candidates.iterator(); iterator.hasNext(); ) {
      BackendState candidate = iterator.next();
      double candidateCost = cost.applyAsDouble(candidate);
      if (candidateCost < lowestCost) {
        cheapest = candidate;
        lowestCost = candidateCost;
      }
    }
    return cheapest;
  }

  // ---- running requests -------------------------------------------------------------------------

  int runningRequests() {
    return placements.size();
  }

  Collection<RequestId> runningRequestIds() {
    return placements.keySet();
  }

  /** Returns the requests that run on backend servers that have not crashed. */
  List<RunningRequest> runningRequestsOnUsableBackends() {
    return byId.values().stream()
        .filter(state -> !state.hasCrashed())
        .flatMap(state -> state.requests.values().stream())
        .toList();
  }

  /** Returns whether the request runs under another id, also on a backend server that crashed. */
  boolean isRunning(CrashSuspect.Request request, RequestId exceptId) {
    return byId.values().stream()
        .filter(state -> state.serves(request.service()))
        .flatMap(state -> state.requests.values().stream())
        .anyMatch(
            running ->
                running.request.getFingerprint() == request.fingerprint()
                    && running.request.getWorkspace().equals(request.workspace())
                    && !running.id.equals(exceptId));
  }

  @Nullable BackendState backendOf(RequestId requestId) {
    return placements.get(requestId);
  }

  void addPlacement(RunningRequest request, BackendState backend) {
    backend.requests.put(request.id, request);
    placements.put(request.id, backend);
  }

  /** Records that the request now runs on the backend server, whose requests contain it already. */
  void changePlacement(RequestId requestId, BackendState backend) {
    placements.put(requestId, backend);
  }

  void removePlacement(RequestId requestId) {
    placements.remove(requestId);
  }

  void removeIfDrained(BackendState state) {
    if (state.hasAnnouncedLeaving() && state.requests.isEmpty()) {
      byId.remove(state.id());
      outlierEjector.remove(state.id());
      failureRateEjector.remove(state.id());
      findServicesWithSeveralVersions();
    }
  }

  // ---- request outcomes -------------------------------------------------------------------------

  void recordFirstReply(BackendState backend) {
    outlierEjector.recordSuccess(backend.id());
  }

  void recordSuccess(BackendState backend) {
    outlierEjector.recordSuccess(backend.id());
    failureRateEjector.recordSuccess(backend.id());
  }

  void recordFailure(BackendState backend, long nowMillis) {
    List<String> peers =
        byId.values().stream()
            .filter(other -> other.serves(backend.service()) && !isEvacuated(other))
            .map(BackendState::id)
            .toList();
    outlierEjector.recordFailure(backend.id(), peers, nowMillis);
    failureRateEjector.recordFailure(backend.id(), peers, nowMillis);
  }
}
