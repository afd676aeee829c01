package org.curranthaven.internal.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Backend servers as one host knows them, each for as long as its announcement's lease lasts.
 *
 * <p>The lease is counted from when the server sent the announcement: each host on the way adds the
 * time that the announcement spent there, so that no two wall clocks are compared. Announcements
 * are ordered by incarnation and sequence, and the order is remembered after a server has gone, so
 * that a late one never brings it back. Not thread-safe.
 */
public final class BackendView {
  /** Length of the lease that an announcement gives, in milliseconds. */
  public static final long LEASE_MILLIS = 3_000;

  /** How long the last announcement of a server that has gone is remembered, in milliseconds. */
  static final long TOMBSTONE_RETENTION_MILLIS = 3_600_000;

  /** Allowance for the time on the wire, added at each hop, in milliseconds. */
  public static final long HOP_ALLOWANCE_MILLIS = 5;

  private final Map<String, Entry> entries = new HashMap<>();

  private record Entry(BackendAnnouncement announcement, long sentAtMillis) {}

  /**
   * A server with the age of what is known of it.
   *
   * @param ageMillis time since the server sent the announcement
   */
  public record AgedAnnouncement(BackendAnnouncement announcement, long ageMillis) {}

  /** Takes in an announcement that is {@code ageMillis} old; returns whether it is news. */
  public boolean update(BackendAnnouncement announcement, long ageMillis, long nowMillis) {
    Entry known = entries.get(announcement.name());
    if (known != null && !announcement.isNewerThan(known.announcement())) {
      return false;
    }
    long sentAt = nowMillis - Math.max(0, ageMillis);
    entries.put(announcement.name(), new Entry(announcement, sentAt));
    return true;
  }

  /** Returns the server if it may be given new work now. */
  public @Nullable BackendAnnouncement usable(String name, long nowMillis) {
    Entry entry = entries.get(name);
    return entry != null && isUsable(entry, nowMillis) ? entry.announcement() : null;
  }

  /** Returns the latest announcement of the server if its lease has not ended, in any state. */
  public @Nullable BackendAnnouncement alive(String name, long nowMillis) {
    Entry entry = entries.get(name);
    return entry != null && nowMillis < entry.sentAtMillis() + LEASE_MILLIS
        ? entry.announcement()
        : null;
  }

  /** Returns all servers that may be given new work now. */
  public List<BackendAnnouncement> allUsable(long nowMillis) {
    return entries.values().stream()
        .filter(entry -> isUsable(entry, nowMillis))
        .map(Entry::announcement)
        .toList();
  }

  /** Returns when the server sent its latest announcement, on this host's clock. */
  public long sentAtMillis(String name) {
    Entry entry = entries.get(name);
    return entry == null ? Long.MIN_VALUE : entry.sentAtMillis();
  }

  /** Returns the named servers' latest announcements, aged to now, to pass on to other hosts. */
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

  /** Returns the names of all servers that are remembered. */
  public Collection<String> names() {
    return List.copyOf(entries.keySet());
  }

  /** Forgets servers that have been gone for {@link #TOMBSTONE_RETENTION_MILLIS}. */
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
