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
  static final long REMOVED_ID_RETENTION_MILLIS = 120_000;

  private final Map<String, BackendRecord> records = new LinkedHashMap<>();
  private final Map<String, Long> registeredAtMillis = new HashMap<>();
  private final Map<String, Long> removedAtMillis = new HashMap<>();
  private long lastFirstSeen;

  /** Takes in a registration; returns what changed for those who send, or null for nothing. */
  public @Nullable BackendRecord register(BackendRecord news, long nowMillis) {
    if (removedAtMillis.containsKey(news.getId())) {
      return null;
    }
    BackendRecord old = records.get(news.getId());
    if (old != null && news.getSequence() <= old.getSequence()) {
      return null;
    }
    long firstSeen = old == null ? nextFirstSeen(news) : old.getFirstSeen();
    boolean leaving = news.getLeaving() || (old != null && old.getLeaving());
    BackendRecord current = news.toBuilder().setFirstSeen(firstSeen).setLeaving(leaving).build();
    records.put(current.getId(), current);
    registeredAtMillis.put(current.getId(), nowMillis);
    return old != null && isEquivalent(old, current) ? null : current;
  }

  private long nextFirstSeen(BackendRecord news) {
    lastFirstSeen = Math.max(lastFirstSeen, news.getFirstSeen()) + 1;
    return lastFirstSeen;
  }

  private static boolean isEquivalent(BackendRecord a, BackendRecord b) {
    return a.getAddress().equals(b.getAddress())
        && a.getService().equals(b.getService())
        && a.getSlots() == b.getSlots()
        && a.getLeaving() == b.getLeaving();
  }

  /** Notes that a backend server said that it is gone; returns whether it was known. */
  public boolean remove(String id, long nowMillis) {
    removedAtMillis.put(id, nowMillis);
    registeredAtMillis.remove(id);
    return records.remove(id) != null;
  }

  /** Takes in what a gateway held; what is heard directly goes before it. */
  public @Nullable BackendRecord restore(BackendRecord record, long nowMillis) {
    lastFirstSeen = Math.max(lastFirstSeen, record.getFirstSeen());
    return register(record, nowMillis);
  }

  /** Returns and removes those not heard of for the given time; their names may come back. */
  public List<String> removeExpired(long silenceMillis, long nowMillis) {
    List<String> silent = new ArrayList<>();
    registeredAtMillis.forEach(
        (id, heard) -> {
          if (nowMillis - heard > silenceMillis) {
            silent.add(id);
          }
        });
    for (String id : silent) {
      records.remove(id);
      registeredAtMillis.remove(id);
    }
    removedAtMillis.values().removeIf(gone -> nowMillis - gone > REMOVED_ID_RETENTION_MILLIS);
    return silent;
  }

  /** Returns the backend server of the name, or null. */
  public @Nullable BackendRecord get(String id) {
    return records.get(id);
  }

  /** Returns every backend server that is known. */
  public Collection<BackendRecord> all() {
    return records.values();
  }

  /** Returns the names of those that are gone and may still be heard of late. */
  public Collection<String> removedIds() {
    return removedAtMillis.keySet();
  }
}
