package org.curranthaven.internal.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.EngineCapabilities;
import org.curranthaven.internal.catalog.ServiceSpec;
import org.curranthaven.internal.routing.OutlierEjector;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.jspecify.annotations.Nullable;

/** The backend servers, what runs on each, and which of them may take a call. Not thread-safe. */
final class Backends {
  private final Map<String, BackendState> byId = new LinkedHashMap<>();
  private final Map<RequestId, BackendState> placements = new HashMap<>();
  private final OutlierEjector ejector = new OutlierEjector();
  private final FailureRateEjector failureRateEjector = new FailureRateEjector();
  private Catalog catalog = Catalog.empty();

  void setCatalog(Catalog newer) {
    catalog = newer;
  }

  /** Returns what is known of the service's engines; null if it has none. */
  @Nullable EngineCapabilities engineOf(String service) {
    ServiceSpec spec = catalog.service(service);
    return spec == null ? null : spec.engine();
  }

  void register(BackendRecord registration, long nowMillis) {
    BackendState known = byId.get(registration.getId());
    if (known == null) {
      byId.put(registration.getId(), new BackendState(registration, nowMillis));
    } else {
      known.updateRegistration(registration, nowMillis);
    }
  }

  @Nullable BackendState get(String id) {
    return byId.get(id);
  }

  Collection<BackendState> all() {
    return byId.values();
  }

  /** Returns the service's backend servers that are not leaving. */
  Stream<BackendState> notLeaving(String service) {
    return byId.values().stream().filter(state -> state.serves(service) && !state.isLeaving());
  }

  /** Returns those that may take the call, whether they have room or not. */
  Stream<BackendState> usableFor(PlacementRequest ask, long nowMillis) {
    Predicate<BackendState> trusted =
        state ->
            !ejector.isEjected(state.id(), nowMillis)
                && !failureRateEjector.isEjected(state.id(), nowMillis);
    return notLeaving(ask.getService())
        .filter(state -> !ask.getExcludedList().contains(state.id()))
        .filter(trusted);
  }

  /** Returns the one that costs least; null for none. The cost of each is worked out once. */
  static @Nullable BackendState cheapest(
      Stream<BackendState> among, ToDoubleFunction<BackendState> cost) {
    BackendState best = null;
    double least = Double.POSITIVE_INFINITY;
    for (Iterator<BackendState> each = among.iterator(); each.hasNext(); ) {
      BackendState candidate = each.next();
      double its = cost.applyAsDouble(candidate);
      if (its < least) {
        best = candidate;
        least = its;
      }
    }
    return best;
  }

  // ---- where calls run --------------------------------------------------------------------------

  int runningRequests() {
    return placements.size();
  }

  Collection<RequestId> runningRequestIds() {
    return placements.keySet();
  }

  @Nullable BackendState backendOf(RequestId key) {
    return placements.get(key);
  }

  void addPlacement(RunningRequest call, BackendState backend) {
    backend.requests.put(call.id, call);
    placements.put(call.id, backend);
  }

  /** Notes that the call runs at the backend server, which counts it already. */
  void changePlacement(RequestId key, BackendState backend) {
    placements.put(key, backend);
  }

  void removePlacement(RequestId key) {
    placements.remove(key);
  }

  void removeIfDrained(BackendState state) {
    if (state.isLeaving() && state.requests.isEmpty()) {
      byId.remove(state.id());
      ejector.forget(state.id());
      failureRateEjector.remove(state.id());
    }
  }

  // ---- how calls fared --------------------------------------------------------------------------

  void recordFirstReply(BackendState backend) {
    ejector.succeeded(backend.id());
  }

  void recordSuccess(BackendState backend) {
    ejector.succeeded(backend.id());
    failureRateEjector.succeeded(backend.id());
  }

  void recordFailure(BackendState backend, long nowMillis) {
    List<String> peers =
        byId.values().stream()
            .filter(other -> other.serves(backend.service()))
            .map(BackendState::id)
            .toList();
    ejector.failed(backend.id(), peers, nowMillis);
    failureRateEjector.failed(backend.id(), peers, nowMillis);
  }
}
