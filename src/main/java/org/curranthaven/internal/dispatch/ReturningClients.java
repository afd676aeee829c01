package org.curranthaven.internal.dispatch;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.jspecify.annotations.Nullable;

/**
 * Rejected requests whose clients were told when to come back, and which of them did. Bounded in
 * number and time. Not thread-safe.
 */
final class ReturningClients {
  private static final int MAX_RECORDS = 20_000;

  /** Time after the one that a client was told until which it counts as coming back as told. */
  private static final long GRACE_MILLIS = 10_000;

  /** Time by which a client may be early; its clock starts when it receives the rejection. */
  private static final long EARLY_MILLIS = 50;

  /** Weight of the latest client in the share of those that come back as told. */
  private static final double LATEST_CLIENT_WEIGHT = 0.02;

  /** Share of the clients expected to come back until any did or did not. */
  private static final double INITIAL_RETURN_SHARE = 0.5;

  /** What identifies a request that is sent again under another id. */
  private record Key(RequestKind kind, String workspace, long fingerprint) {}

  private record Owner(RequestKind kind, String workspace) {}

  private static final class Rejected {
    final long firstArrivalMillis;
    final double memoryTokens;
    long toldAtMillis;
    boolean returned;

    Rejected(long firstArrivalMillis, double memoryTokens) {
      this.firstArrivalMillis = firstArrivalMillis;
      this.memoryTokens = memoryTokens;
    }
  }

  private final Map<Key, Rejected> rejected = new LinkedHashMap<>();
  private final Map<RequestKind, Double> awaitedByKind = new HashMap<>();
  private final Map<Owner, Double> awaitedByOwner = new HashMap<>();
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
      known.returned = true;
      changeAwaited(key, -known.memoryTokens);
      recordReturn(key.kind(), 1);
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
    changeAwaited(key, memoryTokens);
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
    for (Iterator<Map.Entry<Key, Rejected>> entries = rejected.entrySet().iterator();
        entries.hasNext(); ) {
      Map.Entry<Key, Rejected> entry = entries.next();
      if (nowMillis > entry.getValue().toldAtMillis + GRACE_MILLIS) {
        entries.remove();
        if (!entry.getValue().returned) {
          changeAwaited(entry.getKey(), -entry.getValue().memoryTokens);
          recordReturn(entry.getKey().kind(), 0);
        }
      }
    }
  }

  private @Nullable Rejected remove(Key key) {
    Rejected known = rejected.remove(key);
    if (known != null && !known.returned) {
      changeAwaited(key, -known.memoryTokens);
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
    return awaitedByOwner.getOrDefault(new Owner(kind, workspace), 0.0) * returnShare(kind);
  }

  private double returnShare(RequestKind kind) {
    return returnShares.getOrDefault(kind, INITIAL_RETURN_SHARE);
  }

  private void recordReturn(RequestKind kind, double returned) {
    double share = returnShare(kind);
    returnShares.put(kind, share + LATEST_CLIENT_WEIGHT * (returned - share));
  }

  private void changeAwaited(Key key, double tokens) {
    change(awaitedByKind, key.kind(), tokens);
    change(awaitedByOwner, new Owner(key.kind(), key.workspace()), tokens);
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
