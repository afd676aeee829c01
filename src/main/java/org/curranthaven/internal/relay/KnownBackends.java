package org.curranthaven.internal.relay;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.curranthaven.internal.dispatch.SharedKnowledge;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.SchedulerView;
import org.jspecify.annotations.Nullable;

/**
 * Backend servers as a gateway knows them: those that the scheduler published, without removed
 * ones, and which of them have stated that they leave. Not thread-safe.
 */
final class KnownBackends {
  /** Leaving backend servers remembered; many times more than leave before they are removed. */
  private static final int MAX_LEAVING = 4_096;

  private final SharedKnowledge knowledge;
  private final Map<String, BackendRecord> records = new HashMap<>();
  private final Set<String> removed = new HashSet<>();

  /** Backend servers that stated to this gateway that they leave, whatever they register. */
  private final Set<String> leaving = new LinkedHashSet<>();

  /**
   * Creates an empty set.
   *
   * @param knowledge what the gateway has learnt; follows the backend servers that are known
   */
  KnownBackends(SharedKnowledge knowledge) {
    this.knowledge = knowledge;
  }

  /** Returns the backend server with the id; null if it is unknown or removed. */
  @Nullable BackendRecord get(String id) {
    return records.get(id);
  }

  boolean contains(String id) {
    return records.containsKey(id);
  }

  Set<String> ids() {
    return records.keySet();
  }

  Collection<BackendRecord> all() {
    return records.values();
  }

  Set<String> removedIds() {
    return removed;
  }

  /** Returns the known backend servers with the cold times that they have left. */
  List<BackendRecord> withColdTimes(long nowMillis) {
    return knowledge.rateLimits().coldServers().withColdTimes(records.values(), nowMillis);
  }

  /** Returns whether the backend server has stated to this gateway that it leaves. */
  boolean isLeaving(String id) {
    return leaving.contains(id);
  }

  /** Records that a backend server states that it leaves; returns whether that is new. */
  boolean recordLeaving(String id) {
    if (!leaving.add(id)) {
      return false;
    }
    if (leaving.size() > MAX_LEAVING) {
      leaving.remove(leaving.iterator().next());
    }
    records.computeIfPresent(id, (key, record) -> record.toBuilder().setLeaving(true).build());
    return true;
  }

  /** Applies a complete list or a change that the scheduler published. */
  void apply(SchedulerView view, long nowMillis) {
    if (view.getBaseVersion() == 0) {
      forgetUnlisted(view.getBackendsList(), nowMillis);
    }
    view.getBackendsList().forEach(record -> put(record, nowMillis));
    for (String id : view.getGoneList()) {
      removed.add(id);
      forget(id, nowMillis);
    }
    view.getExpiredList().forEach(id -> forget(id, nowMillis));
    knowledge.rateLimits().discard(records::containsKey, nowMillis);
    knowledge.capacities().discard(records::containsKey);
  }

  private void forgetUnlisted(List<BackendRecord> listedRecords, long nowMillis) {
    Set<String> listed = new HashSet<>();
    listedRecords.forEach(record -> listed.add(record.getId()));
    List.copyOf(records.keySet()).stream()
        .filter(id -> !listed.contains(id))
        .forEach(id -> forget(id, nowMillis));
  }

  /** Adds or replaces a record, but never restores a backend server that was removed. */
  private void put(BackendRecord record, long nowMillis) {
    if (!removed.contains(record.getId())) {
      knowledge.rateLimits().coldServers().register(record, nowMillis);
      boolean leaves = record.getLeaving() || leaving.contains(record.getId());
      records.put(record.getId(), record.toBuilder().setLeaving(leaves).build());
    }
  }

  private void forget(String id, long nowMillis) {
    BackendRecord record = records.remove(id);
    knowledge.rateLimits().coldServers().remove(id);
    if (record != null) {
      recordServing(record, nowMillis);
    }
  }

  /** Records that the software versions of all known backend servers serve now. */
  void recordServing(long nowMillis) {
    records.values().forEach(record -> recordServing(record, nowMillis));
  }

  private void recordServing(BackendRecord record, long nowMillis) {
    knowledge
        .streamOrigins()
        .recordServing(record.getService(), record.getSoftwareVersion(), nowMillis);
  }
}
