package org.curranthaven.internal.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Requests that wait for a server, in the order in which they are due. A request that has missed
 * its due time is due again one target later, so that a late draft does not go before every guest
 * who can still be answered in time, yet gets its turn. Not thread-safe.
 */
final class RequestQueue {
  private final TreeSet<Entry> byDueTime =
      new TreeSet<>(Comparator.comparingLong(Entry::dueMillis).thenComparingLong(Entry::id));
  private final Map<Long, Entry> byId = new HashMap<>();

  /** A request with the time at which it is due. */
  record Entry(RequestAttributes request, long dueMillis) {
    long id() {
      return request.id();
    }

    boolean isLate(long nowMillis) {
      return nowMillis > request.firstReplyDueMillis();
    }
  }

  void add(RequestAttributes request, long dueMillis) {
    Entry waiting = new Entry(request, dueMillis);
    byId.put(request.id(), waiting);
    byDueTime.add(waiting);
  }

  @Nullable RequestAttributes remove(long requestId) {
    Entry waiting = byId.remove(requestId);
    if (waiting == null) {
      return null;
    }
    byDueTime.remove(waiting);
    return waiting.request();
  }

  boolean contains(long requestId) {
    return byId.containsKey(requestId);
  }

  int size() {
    return byId.size();
  }

  /** Gives requests that missed their due time the next one. */
  void postponeLate(long nowMillis) {
    while (!byDueTime.isEmpty() && byDueTime.first().dueMillis() <= nowMillis) {
      Entry late = byDueTime.pollFirst();
      long target = late.request().targets().firstReplyMillis();
      long missed = (nowMillis - late.dueMillis()) / target + 1;
      Entry renewed = new Entry(late.request(), late.dueMillis() + missed * target);
      byId.put(renewed.id(), renewed);
      byDueTime.add(renewed);
    }
  }

  /** Returns the waiting requests in order, as a copy. */
  List<Entry> inDueOrder() {
    return new ArrayList<>(byDueTime);
  }
}
