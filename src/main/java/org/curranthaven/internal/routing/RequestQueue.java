package org.curranthaven.internal.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Requests that wait for a backend server, ordered by due time.
 *
 * <p>A request that has missed its due time gets a new one, a first-reply target later. A late
 * request of a class with a long target thus doesn't go ahead of every request that can still meet
 * a short target, yet isn't starved either. Not thread-safe.
 */
final class RequestQueue {
  private final TreeSet<Entry> byDueTime =
      new TreeSet<>(Comparator.comparingLong(Entry::dueMillis).thenComparingLong(Entry::id));
  private final Map<Long, Entry> byId = new HashMap<>();

  /**
   * A queued request.
   *
   * @param dueMillis due time by which the queue is ordered; may differ from the request's own
   */
  record Entry(RequestAttributes request, long dueMillis) {
    long id() {
      return request.id();
    }

    /** Returns whether the request has missed its first-reply target. */
    boolean isLate(long nowMillis) {
      return nowMillis > request.firstReplyDueMillis();
    }
  }

  void add(RequestAttributes request, long dueMillis) {
    Entry entry = new Entry(request, dueMillis);
    byId.put(request.id(), entry);
    byDueTime.add(entry);
  }

  @Nullable RequestAttributes remove(long requestId) {
    Entry entry = byId.remove(requestId);
    if (entry == null) {
      return null;
    }
    byDueTime.remove(entry);
    return entry.request();
  }

  boolean contains(long requestId) {
    return byId.containsKey(requestId);
  }

  int size() {
    return byId.size();
  }

  /** Moves the due time of each late entry into the future by whole first-reply targets. */
  void postponeLate(long nowMillis) {
    while (!byDueTime.isEmpty() && byDueTime.first().dueMillis() <= nowMillis) {
      Entry late = byDueTime.pollFirst();
      long target = late.request().targets().firstReplyMillis();
      long missedTargets = (nowMillis - late.dueMillis()) / target + 1;
      Entry postponed = new Entry(late.request(), late.dueMillis() + missedTargets * target);
      byId.put(postponed.id(), postponed);
      byDueTime.add(postponed);
    }
  }

  /** Returns a copy of the queue in order of due time. */
  List<Entry> inDueOrder() {
    return new ArrayList<>(byDueTime);
  }
}
