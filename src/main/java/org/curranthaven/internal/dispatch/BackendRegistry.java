package org.curranthaven.internal.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.jspecify.annotations.Nullable;

/**
 * The backend servers that registered, as the scheduler knows them: each by its own name, in the
 * order of its sequence numbers. One that is gone never comes back under its name. Not thread-safe.
 */
public final class BackendRegistry {
  /** Time for which the name of one that is gone is kept: longer than a late message takes. */
  static final long GONE_KEPT_MILLIS = 120_000;

  private final Map<String, BackendRecord> known = new LinkedHashMap<>();
  private final Map<String, Long> heardAtMillis = new HashMap<>();
  private final Map<String, Long> goneAtMillis = new HashMap<>();
  private long firstSeenCounter;

  /** Takes in a registration; returns what changed for those who send, or null for nothing. */
  public @Nullable BackendRecord register(BackendRecord news, long nowMillis) {
    if (goneAtMillis.containsKey(news.getId())) {
      return null;
    }
    BackendRecord old = known.get(news.getId());
    if (old != null && news.getSequence() <= old.getSequence()) {
      return null;
    }
    long firstSeen = old == null ? nextFirstSeen(news) : old.getFirstSeen();
    boolean leaving = news.getLeaving() || (old != null && old.getLeaving());
    BackendRecord current = news.toBuilder().setFirstSeen(firstSeen).setLeaving(leaving).build();
    known.put(current.getId(), current);
    heardAtMillis.put(current.getId(), nowMillis);
    return old != null && isSameFor(old, current) ? null : current;
  }

  private long nextFirstSeen(BackendRecord news) {
    firstSeenCounter = Math.max(firstSeenCounter, news.getFirstSeen()) + 1;
    return firstSeenCounter;
  }

  private static boolean isSameFor(BackendRecord a, BackendRecord b) {
    return a.getAddress().equals(b.getAddress())
        && a.getService().equals(b.getService())
        && a.getSlots() == b.getSlots()
        && a.getLeaving() == b.getLeaving();
  }

  /** Notes that a backend server said that it is gone; returns whether it was known. */
  public boolean remove(String id, long nowMillis) {
    goneAtMillis.put(id, nowMillis);
    heardAtMillis.remove(id);
    return known.remove(id) != null;
  }

  /** Takes in what a gateway held; what is heard directly goes before it. */
  public @Nullable BackendRecord restore(BackendRecord record, long nowMillis) {
    firstSeenCounter = Math.max(firstSeenCounter, record.getFirstSeen());
    return register(record, nowMillis);
  }

  /** Returns and removes those not heard of for the given time; their names may come back. */
  public List<String> removeExpired(long silenceMillis, long nowMillis) {
    List<String> silent = new ArrayList<>();
    heardAtMillis.forEach(
        (id, heard) -> {
          if (nowMillis - heard > silenceMillis) {
            silent.add(id);
          }
        });
    for (String id : silent) {
      known.remove(id);
      heardAtMillis.remove(id);
    }
    goneAtMillis.values().removeIf(gone -> nowMillis - gone > GONE_KEPT_MILLIS);
    return silent;
  }

  /** Returns the backend server of the name, or null. */
  public @Nullable BackendRecord get(String id) {
    return known.get(id);
  }

  /** Returns every backend server that is known. */
  public Collection<BackendRecord> all() {
    return known.values();
  }

  /** Returns the names of those that are gone and may still be heard of late. */
  public Collection<String> removedIds() {
    return goneAtMillis.keySet();
  }
}
