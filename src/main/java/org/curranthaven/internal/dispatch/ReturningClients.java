package org.curranthaven.internal.dispatch;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.jspecify.annotations.Nullable;

/**
 * Rejected requests whose clients were told when to come back, and which of them did. Bounded in
 * number and time. Not thread-safe.
 */
final class ReturningClients {
  private static final int MAX_RECORDS = 20_000;

  /** Bound of the times told, of which a client that repeats at once leaves several behind. */
  private static final int MAX_TOLD = 2 * MAX_RECORDS;

  /** Interval at which outdated records are looked for, which reads all of them. */
  private static final long SWEEP_INTERVAL_MILLIS = 1_000;

  /** Time after the one that a client was told until which it counts as coming back as told. */
  private static final long GRACE_MILLIS = 4_000;

  /** Time by which a client may be early; its clock starts when it receives the rejection. */
  private static final long EARLY_MILLIS = 50;

  /** Time before the one that a client was told from which memory is kept for it. */
  private static final long DUE_MILLIS = 300;

  /** Time after it until which memory is kept; covers a round trip to the client. */
  private static final long OVERDUE_MILLIS = 500;

  /** Weight of the latest client in the share of those that come back as told. */
  private static final double LATEST_CLIENT_WEIGHT = 0.05;

  /** Share of the clients expected to come back until any did or did not. */
  private static final double INITIAL_RETURN_SHARE = 1;

  /** What identifies a request that is sent again under another id. */
  private record Key(RequestKind kind, String workspace, long fingerprint) {}

  /** When the client of a rejected request was told to come back. */
  private record Told(long atMillis, Key key, Rejected rejected) {}

  private static final class Rejected {
    final long firstArrivalMillis;
    final double memoryTokens;
    long toldAtMillis;
    boolean returned;
    boolean due;

    /** Whether its client was counted as one that did not come back as told. */
    boolean missed;

    Rejected(long firstArrivalMillis, double memoryTokens) {
      this.firstArrivalMillis = firstArrivalMillis;
      this.memoryTokens = memoryTokens;
    }
  }

  private final Map<Key, Rejected> rejected = new LinkedHashMap<>();
  private final Map<RequestKind, Double> awaitedByKind = new HashMap<>();
  private final Map<RequestKind, Map<String, Double>> awaitedByWorkspace = new HashMap<>();
  private final Map<RequestKind, Double> dueByKind = new HashMap<>();
  private final PriorityQueue<Told> notYetDue =
      new PriorityQueue<>(Comparator.comparingLong(Told::atMillis));
  private final ArrayDeque<Told> due = new ArrayDeque<>();
  private long nextSweepMillis;
  private final Map<RequestKind, Double> returnShares = new HashMap<>();

  /**
   * Records the arrival of a request.
   *
   * @return whether the request is known: its client was rejected before, and is back
   */
  boolean recordArrival(PlacementRequest request, long nowMillis) {
    Key key = keyOf(request);
    Rejected known = rejected.get(key);
    if (known == null) {
      return false;
    }
    if (!known.returned && nowMillis >= known.toldAtMillis - EARLY_MILLIS) {
      changeAwaited(key, known, -1);
      known.returned = true;
      if (!known.missed) {
        recordReturn(key.kind(), 1);
      }
    }
    return true;
  }

  /** Records that a request was rejected and its client told when to come back. */
  void recordRejection(
      PlacementRequest request, double memoryTokens, long retryAfterMillis, long nowMillis) {
    if (request.getFingerprint() == 0) {
      return;
    }
    Key key = keyOf(request);
    Rejected known = remove(key);
    Rejected next =
        new Rejected(known == null ? nowMillis : known.firstArrivalMillis, memoryTokens);
    next.toldAtMillis = nowMillis + retryAfterMillis;
    rejected.put(key, next);
    if (notYetDue.size() < MAX_TOLD) {
      notYetDue.add(new Told(next.toldAtMillis, key, next));
    }
    changeAwaited(key, next, 1);
    if (rejected.size() > MAX_RECORDS) {
      remove(rejected.keySet().iterator().next());
    }
  }

  /** Forgets a request that was placed. */
  void recordPlacement(PlacementRequest request) {
    remove(keyOf(request));
  }

  /** Forgets the clients that have not come back in time. */
  void tick(long nowMillis) {
    updateDue(nowMillis);
    if (nowMillis < nextSweepMillis) {
      return;
    }
    nextSweepMillis = nowMillis + SWEEP_INTERVAL_MILLIS;
    for (Iterator<Map.Entry<Key, Rejected>> entries = rejected.entrySet().iterator();
        entries.hasNext(); ) {
      Map.Entry<Key, Rejected> entry = entries.next();
      if (nowMillis > entry.getValue().toldAtMillis + GRACE_MILLIS) {
        entries.remove();
        if (!entry.getValue().returned) {
          changeAwaited(entry.getKey(), entry.getValue(), -1);
        }
      }
    }
  }

  private @Nullable Rejected remove(Key key) {
    Rejected known = rejected.remove(key);
    if (known != null && !known.returned) {
      changeAwaited(key, known, -1);
    }
    return known;
  }

  /** Returns when a request whose client came back as told first arrived; null for others. */
  @Nullable Long firstArrivalMillis(PlacementRequest request) {
    Rejected known = rejected.get(keyOf(request));
    return known != null && known.returned ? known.firstArrivalMillis : null;
  }

  /** Returns the memory expected to be needed by clients of the kind that will come back. */
  double awaitedTokens(RequestKind kind) {
    return awaitedByKind.getOrDefault(kind, 0.0) * returnShare(kind);
  }

  /** Returns the part of that memory that one workspace needs. */
  double awaitedTokens(RequestKind kind, String workspace) {
    Map<String, Double> ofKind = awaitedByWorkspace.getOrDefault(kind, Map.of());
    return ofKind.getOrDefault(workspace, 0.0) * returnShare(kind);
  }

  /** Returns the number of workspaces with clients of the kind that may come back. */
  int awaitedWorkspaces(RequestKind kind) {
    return awaitedByWorkspace.getOrDefault(kind, Map.of()).size();
  }

  /** Returns the memory that clients need which were told to come back about now. */
  double dueTokens(RequestKind kind, long nowMillis) {
    updateDue(nowMillis);
    return dueByKind.getOrDefault(kind, 0.0) * returnShare(kind);
  }

  private void updateDue(long nowMillis) {
    while (!notYetDue.isEmpty() && notYetDue.peek().atMillis() <= nowMillis + DUE_MILLIS) {
      Told told = notYetDue.remove();
      if (rejected.get(told.key()) == told.rejected() && !told.rejected().returned) {
        told.rejected().due = true;
        due.add(told);
        change(dueByKind, told.key().kind(), told.rejected().memoryTokens);
      }
    }
    endOverdue(nowMillis);
  }

  private void endOverdue(long nowMillis) {
    while (!due.isEmpty() && due.peek().atMillis() <= nowMillis - OVERDUE_MILLIS) {
      Told told = due.remove();
      boolean awaited = rejected.get(told.key()) == told.rejected() && !told.rejected().returned;
      if (awaited && told.rejected().due) {
        told.rejected().due = false;
        told.rejected().missed = true;
        change(dueByKind, told.key().kind(), -told.rejected().memoryTokens);
        recordReturn(told.key().kind(), 0);
      }
    }
  }

  private double returnShare(RequestKind kind) {
    return returnShares.getOrDefault(kind, INITIAL_RETURN_SHARE);
  }

  private void recordReturn(RequestKind kind, double returned) {
    double share = returnShare(kind);
    returnShares.put(kind, share + LATEST_CLIENT_WEIGHT * (returned - share));
  }

  private void changeAwaited(Key key, Rejected client, int count) {
    double tokens = count * client.memoryTokens;
    if (client.due) {
      change(dueByKind, key.kind(), tokens);
    }
    change(awaitedByKind, key.kind(), tokens);
    Map<String, Double> ofKind =
        awaitedByWorkspace.computeIfAbsent(key.kind(), kind -> new HashMap<>());
    change(ofKind, key.workspace(), tokens);
  }

  private static <K> void change(Map<K, Double> sums, K key, double tokens) {
    double sum = sums.merge(key, tokens, Double::sum);
    // A sum of fractions may not return to 0 exactly.
    if (sum < 0.5) {
      sums.remove(key);
    }
  }

  private static Key keyOf(PlacementRequest request) {
    return new Key(RequestKind.of(request), request.getWorkspace(), request.getFingerprint());
  }
}
