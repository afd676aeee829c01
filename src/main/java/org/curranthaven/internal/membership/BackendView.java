package org.curranthaven.internal.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The backend servers that one host knows, each valid while the lease of its latest announcement
 * lasts.
 *
 * <p>A lease starts when the backend server sends the announcement. Each host that forwards the
 * announcement adds the time spent there to its age, so that wall clocks of different hosts are
 * never compared. Announcements are ordered by incarnation and sequence. The latest one is kept for
 * {@link #TOMBSTONE_RETENTION_MILLIS}, also after its lease has expired, so that a delayed
 * announcement does not restore a removed backend server. Not thread-safe.
 */
public final class BackendView {
  /** Duration of the lease that an announcement grants, in milliseconds. */
  public static final long LEASE_MILLIS = 3_000;

  /** How long the last announcement of a removed backend server is kept, in milliseconds. */
  static final long TOMBSTONE_RETENTION_MILLIS = 3_600_000;

  /** Assumed network latency of a hop, added to the age of a forwarded announcement. */
  public static final long HOP_ALLOWANCE_MILLIS = 5;

  private final Map<String, Entry> entries = new HashMap<>();

  private record Entry(BackendAnnouncement announcement, long sentAtMillis) {}

  /**
   * The latest announcement of a backend server, with its age.
   *
   * @param ageMillis time since the backend server sent the announcement
   */
  public record AgedAnnouncement(BackendAnnouncement announcement, long ageMillis) {}

  /** Stores an announcement unless a newer one is known; returns whether it was stored. */
  public boolean update(BackendAnnouncement announcement, long ageMillis, long nowMillis) {
    Entry known = entries.get(announcement.name());
    if (known != null && !announcement.isNewerThan(known.announcement())) {
      return false;
    }
    long sentAtMillis = nowMillis - Math.max(0, ageMillis);
    entries.put(announcement.name(), new Entry(announcement, sentAtMillis));
    return true;
  }

  /** Returns the backend server if it may be sent new requests now, or null. */
  public @Nullable BackendAnnouncement usable(String name, long nowMillis) {
    Entry entry = entries.get(name);
    return entry != null && isUsable(entry, nowMillis) ? entry.announcement() : null;
  }

  /** Returns the backend server in any state if its lease has not expired, or null. */
  public @Nullable BackendAnnouncement alive(String name, long nowMillis) {
    Entry entry = entries.get(name);
    return entry != null && nowMillis < entry.sentAtMillis() + LEASE_MILLIS
        ? entry.announcement()
        : null;
  }

  /** Returns all backend servers that may be sent new requests now. */
  public List<BackendAnnouncement> allUsable(long nowMillis) {
    return entries.values().stream()
        .filter(entry -> isUsable(entry, nowMillis))
        .map(Entry::announcement)
        .toList();
  }

  /**
   * Returns when the backend server sent its latest announcement, on this host's clock, or {@link
   * Long#MIN_VALUE} if none is known.
   */
  public long sentAtMillis(String name) {
    Entry entry = entries.get(name);
    return entry == null ? Long.MIN_VALUE : entry.sentAtMillis();
  }

  /** Returns the latest announcements of the named backend servers, to forward to other hosts. */
  public List<AgedAnnouncement> agedAnnouncements(Collection<String> names, long nowMillis) {
    List<AgedAnnouncement> result = new ArrayList<>();
    for (String name : names) {
      Entry entry = entries.get(name);
      if (entry != null) {
        result.add(new AgedAnnouncement(entry.announcement(), nowMillis - entry.sentAtMillis()));
      }
    }
    return result;
  }

  /** Returns the names of all known backend servers, including those with an expired lease. */
  public Collection<String> names() {
    return List.copyOf(entries.keySet());
  }

  /** Evicts backend servers that sent nothing for {@link #TOMBSTONE_RETENTION_MILLIS}. */
  public void evictOldEntries(long nowMillis) {
    entries
        .values()
        .removeIf(entry -> nowMillis - entry.sentAtMillis() > TOMBSTONE_RETENTION_MILLIS);
  }

  private static boolean isUsable(Entry entry, long nowMillis) {
    return entry.announcement().state() == BackendAnnouncement.State.READY
        && nowMillis < entry.sentAtMillis() + LEASE_MILLIS;
  }
}
