package org.curranthaven.internal.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.jspecify.annotations.Nullable;

/**
 * Registered backend servers as the scheduler knows them, by id. For each id, updates are applied
 * in the order of their sequence numbers; of several starts of one instance only the latest is
 * registered. An id that was removed cannot be registered again for {@link
 * #REMOVED_ID_RETENTION_MILLIS}. Not thread-safe.
 */
public final class BackendRegistry {
  /** Time for which a removed id is remembered; longer than a delayed message takes to arrive. */
  static final long REMOVED_ID_RETENTION_MILLIS = 120_000;

  /**
   * Difference of two statements of one cold time that is not published: registrations are delayed
   * by different times.
   */
  private static final long COLD_TOLERANCE_MILLIS = 20;

  private final Map<String, BackendRecord> records = new LinkedHashMap<>();
  private final Map<String, Long> registeredAtMillis = new HashMap<>();
  private final Map<String, Long> removedAtMillis = new HashMap<>();

  /** Ids of backend servers that leave, and when one last registered or stated it. */
  private final Map<String, Long> leavingAtMillis = new HashMap<>();

  /** Latest start of each instance, and when it was last heard of. */
  private final Map<String, Incarnation> incarnations = new HashMap<>();

  /** Until when backend servers are cold, as published last. */
  private final Map<String, Long> coldUntilMillis = new HashMap<>();

  private long lastFirstSeen;

  private record Incarnation(long startedAtMillis, long heardAtMillis) {}

  /**
   * Applies a registration.
   *
   * @return the record to publish to gateways; null if nothing changed that they use
   */
  public @Nullable BackendRecord register(BackendRecord update, long nowMillis) {
    if (removedAtMillis.containsKey(update.getId())
        || isSuperseded(update)
        || lacksIncarnation(update)) {
      return null;
    }
    recordIncarnation(update, nowMillis);
    BackendRecord previous = records.get(update.getId());
    if (previous != null && update.getSequence() <= previous.getSequence()) {
      return null;
    }
    long firstSeen = previous == null ? nextFirstSeen(update) : previous.getFirstSeen();
    boolean leaving = update.getLeaving() || leavingAtMillis.containsKey(update.getId());
    if (leaving) {
      leavingAtMillis.put(update.getId(), nowMillis);
    }
    BackendRecord current = update.toBuilder().setFirstSeen(firstSeen).setLeaving(leaving).build();
    records.put(current.getId(), current);
    registeredAtMillis.put(current.getId(), nowMillis);
    boolean published =
        previous != null && isEquivalent(previous, current) && isColdTimeKnown(current, nowMillis);
    if (published) {
      return null;
    }
    coldUntilMillis.put(current.getId(), nowMillis + current.getColdLeftMillis());
    return current;
  }

  private boolean isSuperseded(BackendRecord update) {
    Incarnation latest = incarnations.get(update.getInstance());
    return latest != null && update.getIncarnation() < latest.startedAtMillis();
  }

  /**
   * Returns whether the registration does not say which start of the backend server it is about,
   * though the backend server itself does.
   */
  public boolean lacksIncarnation(BackendRecord update) {
    return update.getInstance().isEmpty() && incarnations.containsKey(update.getId());
  }

  private void recordIncarnation(BackendRecord update, long nowMillis) {
    if (!update.getInstance().isEmpty()) {
      incarnations.put(update.getInstance(), new Incarnation(update.getIncarnation(), nowMillis));
    }
  }

  /**
   * Returns the ids of earlier starts of the same instance that are still registered, and of a
   * registration under its name that states no start. They have ended, and hold nothing of what
   * they held.
   */
  public List<String> earlierStarts(BackendRecord record) {
    return record.getInstance().isEmpty()
        ? List.of()
        : Stream.concat(
                startsOf(record.getInstance()).stream()
                    .filter(start -> start.getIncarnation() < record.getIncarnation()),
                withoutIncarnation(record.getInstance()).stream())
            .map(BackendRecord::getId)
            .toList();
  }

  /** Returns what was registered under the name by a registration that stated no start. */
  private Optional<BackendRecord> withoutIncarnation(String name) {
    return Optional.ofNullable(records.get(name)).filter(record -> record.getInstance().isEmpty());
  }

  /**
   * Returns the id to deregister for a name that a backend server may keep when it restarts: that
   * of its registered start, or the name itself.
   */
  public String registeredId(String name) {
    return startsOf(name).stream().map(BackendRecord::getId).findFirst().orElse(name);
  }

  private List<BackendRecord> startsOf(String instance) {
    return records.values().stream().filter(known -> known.getInstance().equals(instance)).toList();
  }

  /**
   * Records that a backend server has stated that it leaves; no later registration of the same id
   * takes that back.
   *
   * @return the record to publish to gateways; null if that was known or the id is not registered
   */
  public @Nullable BackendRecord recordLeaving(String id, long nowMillis) {
    leavingAtMillis.put(id, nowMillis);
    BackendRecord known = records.get(id);
    if (known == null || known.getLeaving()) {
      return null;
    }
    BackendRecord leaving = known.toBuilder().setLeaving(true).build();
    records.put(id, leaving);
    return leaving;
  }

  private long nextFirstSeen(BackendRecord update) {
    lastFirstSeen = Math.max(lastFirstSeen, update.getFirstSeen()) + 1;
    return lastFirstSeen;
  }

  private static boolean isEquivalent(BackendRecord first, BackendRecord second) {
    return first.getAddress().equals(second.getAddress())
        && first.getService().equals(second.getService())
        && first.getDataCentre().equals(second.getDataCentre())
        && first.getSlots() == second.getSlots()
        && first.getSoftwareVersion().equals(second.getSoftwareVersion())
        && first.getLeaving() == second.getLeaving();
  }

  /**
   * Returns whether the cold time of a registration is the published one. A backend server that is
   * cold again is always a change, also for the shortest time.
   */
  private boolean isColdTimeKnown(BackendRecord current, long nowMillis) {
    long leftMillis = current.getColdLeftMillis();
    long knownMillis = coldUntilMillis.getOrDefault(current.getId(), nowMillis) - nowMillis;
    boolean coldAgain = leftMillis > 0 && knownMillis <= 0;
    return !coldAgain && Math.abs(leftMillis - Math.max(0, knownMillis)) <= COLD_TOLERANCE_MILLIS;
  }

  /** Removes a backend server that deregistered; returns whether it was registered. */
  public boolean remove(String id, long nowMillis) {
    removedAtMillis.put(id, nowMillis);
    registeredAtMillis.remove(id);
    coldUntilMillis.remove(id);
    return records.remove(id) != null;
  }

  /** Applies a record that a gateway has cached; registrations with higher sequence numbers win. */
  public @Nullable BackendRecord restore(BackendRecord record, long nowMillis) {
    lastFirstSeen = Math.max(lastFirstSeen, record.getFirstSeen());
    BackendRecord changed = register(record, nowMillis);
    BackendRecord leaving = record.getLeaving() ? recordLeaving(record.getId(), nowMillis) : null;
    return leaving == null ? changed : leaving;
  }

  /**
   * Removes the backend servers that did not register within the timeout and returns their ids,
   * which may be registered again. Discards removed ids after their retention time.
   */
  public List<String> removeExpired(long timeoutMillis, long nowMillis) {
    List<String> expired = new ArrayList<>();
    registeredAtMillis.forEach(
        (id, registeredAt) -> {
          if (nowMillis - registeredAt > timeoutMillis) {
            expired.add(id);
          }
        });
    for (String id : expired) {
      records.remove(id);
      registeredAtMillis.remove(id);
      coldUntilMillis.remove(id);
    }
    leavingAtMillis
        .values()
        .removeIf(leavingAt -> nowMillis - leavingAt > REMOVED_ID_RETENTION_MILLIS);
    removedAtMillis
        .values()
        .removeIf(removedAt -> nowMillis - removedAt > REMOVED_ID_RETENTION_MILLIS);
    incarnations
        .values()
        .removeIf(start -> nowMillis - start.heardAtMillis() > REMOVED_ID_RETENTION_MILLIS);
    return expired;
  }

  /** Returns the record of the backend server; null if it is not registered. */
  public @Nullable BackendRecord get(String id) {
    return records.get(id);
  }

  /** Returns the records of all registered backend servers. */
  public Collection<BackendRecord> all() {
    return records.values();
  }

  /** Returns the removed ids for which delayed messages may still arrive. */
  public Collection<String> removedIds() {
    return removedAtMillis.keySet();
  }
}
