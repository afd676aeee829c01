package org.curranthaven.internal.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;
import org.jspecify.annotations.Nullable;

/**
 * Queued requests of one service, with sums by priority, so that a forecast need not read them all.
 * Not thread-safe.
 */
final class ServiceQueue {
  private final NavigableSet<QueuedRequest> byRank = new TreeSet<>(QueuedRequest.BY_RANK);
  private final NavigableMap<Integer, Lane> lanes = new TreeMap<>();
  private final Map<String, Integer> requestsByAwaitedVersion = new HashMap<>();

  /** Number and memory of requests. */
  static final class Sum {
    private int requests;
    private double memoryTokens;

    private void change(int count, double tokens) {
      requests += count;
      // A sum of fractions may not return to 0 exactly.
      memoryTokens = requests == 0 ? 0 : memoryTokens + count * tokens;
    }

    int requests() {
      return requests;
    }

    double memoryTokens() {
      return memoryTokens;
    }
  }

  /** Queued requests of one priority. */
  private static final class Lane {
    private final Sum all = new Sum();
    private final Sum returned = new Sum();
    private final Map<String, WorkspaceLane> byWorkspace = new HashMap<>();
  }

  /** Queued requests of one priority and workspace. */
  private static final class WorkspaceLane {
    private final Sum all = new Sum();
    private final NavigableSet<QueuedRequest> byRank = new TreeSet<>(QueuedRequest.BY_RANK);
  }

  NavigableSet<QueuedRequest> byRank() {
    return byRank;
  }

  /** Returns the software versions that queued requests are bound to. */
  Set<String> awaitedVersions() {
    return requestsByAwaitedVersion.keySet();
  }

  void add(QueuedRequest queued) {
    byRank.add(queued);
    Lane lane = lanes.computeIfAbsent(queued.request().getPriority(), key -> new Lane());
    WorkspaceLane ofWorkspace =
        lane.byWorkspace.computeIfAbsent(
            queued.request().getWorkspace(), key -> new WorkspaceLane());
    ofWorkspace.byRank.add(queued);
    change(queued, lane, ofWorkspace, 1);
  }

  void remove(QueuedRequest queued) {
    byRank.remove(queued);
    Lane lane = lanes.get(queued.request().getPriority());
    WorkspaceLane ofWorkspace =
        lane == null ? null : lane.byWorkspace.get(queued.request().getWorkspace());
    if (lane == null || ofWorkspace == null) {
      return;
    }
    ofWorkspace.byRank.remove(queued);
    change(queued, lane, ofWorkspace, -1);
    if (ofWorkspace.byRank.isEmpty()) {
      lane.byWorkspace.remove(queued.request().getWorkspace());
    }
    if (lane.byWorkspace.isEmpty()) {
      lanes.remove(queued.request().getPriority());
    }
  }

  private void change(QueuedRequest queued, Lane lane, WorkspaceLane ofWorkspace, int count) {
    lane.all.change(count, queued.memoryTokens());
    ofWorkspace.all.change(count, queued.memoryTokens());
    if (queued.returned()) {
      lane.returned.change(count, queued.memoryTokens());
    }
    if (queued.request().getVersionBound()) {
      requestsByAwaitedVersion.merge(
          queued.request().getSoftwareVersion(),
          count,
          (before, change) -> before + change == 0 ? null : before + change);
    }
  }

  /** Returns the sum of the requests of a priority and of more urgent ones. */
  Sum atLeastAsUrgentAs(int priority) {
    return sumOf(priority, true);
  }

  /** Returns the sum of the requests that are more urgent than a priority. */
  Sum moreUrgentThan(int priority) {
    return sumOf(priority, false);
  }

  private Sum sumOf(int priority, boolean inclusive) {
    Sum sum = new Sum();
    for (Lane lane : lanes.headMap(priority, inclusive).values()) {
      sum.requests += lane.all.requests;
      sum.memoryTokens += lane.all.memoryTokens;
    }
    return sum;
  }

  /** Returns the sum of the requests of a priority whose clients came back as told. */
  Sum returned(int priority) {
    Lane lane = lanes.get(priority);
    return lane == null ? new Sum() : lane.returned;
  }

  /** Returns the sum of the requests of a priority and workspace. */
  Sum of(int priority, String workspace) {
    Lane lane = lanes.get(priority);
    WorkspaceLane ofWorkspace = lane == null ? null : lane.byWorkspace.get(workspace);
    return ofWorkspace == null ? new Sum() : ofWorkspace.all;
  }

  /** Returns the number of workspaces with queued requests of a priority. */
  int workspaces(int priority) {
    Lane lane = lanes.get(priority);
    return lane == null ? 0 : lane.byWorkspace.size();
  }

  /**
   * Returns the first request, by rank, of the workspace that uses the least, among the requests of
   * the most urgent priority; null if none is queued.
   */
  @Nullable QueuedRequest firstOfLeastUser(ToDoubleFunction<String> usedByWorkspace) {
    if (lanes.isEmpty()) {
      return null;
    }
    return lanes.firstEntry().getValue().byWorkspace.entrySet().stream()
        .min(
            Comparator.comparingDouble(
                    (Map.Entry<String, WorkspaceLane> entry) ->
                        usedByWorkspace.applyAsDouble(entry.getKey()))
                .thenComparing(entry -> entry.getValue().byRank.first(), QueuedRequest.BY_RANK))
        .map(entry -> entry.getValue().byRank.first())
        .orElse(null);
  }
}
