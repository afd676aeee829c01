package org.curranthaven.internal.emulator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.dispatch.DispatchDecision;
import org.curranthaven.internal.dispatch.RejectionReason;
import org.curranthaven.internal.dispatch.RequestId;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.curranthaven.internal.transport.wire.PlacementRequest;

/**
 * Baseline that sends every request at once to the backend server with the fewest open requests.
 * Not thread-safe.
 */
final class LeastOutstandingPolicy implements PlacementPolicy {
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final Map<String, BackendRecord> backends = new LinkedHashMap<>();
  private final Map<String, Integer> openRequests = new HashMap<>();
  private final Map<RequestId, String> placements = new HashMap<>();
  private List<DispatchDecision> decisions = new ArrayList<>();

  @Override
  public void setCatalog(Catalog catalog) {}

  @Override
  public void updateBackend(BackendRecord registration, long nowMillis) {
    backends.put(registration.getId(), registration);
  }

  @Override
  public void removeBackend(String id, long nowMillis) {
    backends.remove(id);
  }

  @Override
  public void submit(RequestId requestId, PlacementRequest request, long nowMillis) {
    BackendRecord chosen =
        backends.values().stream()
            .filter(backend -> backend.getService().equals(request.getService()))
            .filter(backend -> !request.getExcludedList().contains(backend.getId()))
            .min(Comparator.comparingInt(backend -> openRequests.getOrDefault(backend.getId(), 0)))
            .orElse(null);
    if (chosen == null) {
      decisions.add(
          new DispatchDecision.Reject(requestId, RETRY_AFTER_MILLIS, RejectionReason.NO_BACKEND));
      return;
    }
    openRequests.merge(chosen.getId(), 1, Integer::sum);
    placements.put(requestId, chosen.getId());
    decisions.add(new DispatchDecision.Place(requestId, chosen.getId(), request.getPriority(), ""));
  }

  @Override
  public void outputProgressed(RequestId requestId, int outputTokens, long nowMillis) {}

  @Override
  public void requestEnded(
      RequestId requestId, DispatchOutcome outcome, int outputTokens, long nowMillis) {
    String backend = placements.remove(requestId);
    if (backend != null) {
      openRequests.merge(backend, -1, Integer::sum);
    }
  }

  @Override
  public void tick(long nowMillis) {}

  @Override
  public List<DispatchDecision> drainDecisions() {
    List<DispatchDecision> drained = decisions;
    decisions = new ArrayList<>();
    return drained;
  }
}
