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
  private final TreeSet<Waiting> order =
      new TreeSet<>(Comparator.comparingLong(Waiting::dueMillis).thenComparingLong(Waiting::id));
  private final Map<Long, Waiting> byId = new HashMap<>();

  /** A request with the time at which it is due. */
  record Waiting(RequestAttributes request, long dueMillis) {
    long id() {
      return request.id();
    }

    boolean overdue(long nowMillis) {
      return nowMillis > request.firstReplyDueMillis();
    }
  }

  void add(RequestAttributes request, long dueMillis) {
    Waiting waiting = new Waiting(request, dueMillis);
    byId.put(request.id(), waiting);
    order.add(waiting);
  }

  @Nullable RequestAttributes remove(long requestId) {
    Waiting waiting = byId.remove(requestId);
    if (waiting == null) {
      return null;
    }
    order.remove(waiting);
    return waiting.request();
  }

  boolean contains(long requestId) {
    return byId.containsKey(requestId);
  }

  int size() {
    return byId.size();
  }

  /** Gives requests that missed their due time the next one. */
  void renewOverdue(long nowMillis) {
    while (!order.isEmpty() && order.first().dueMillis() <= nowMillis) {
      Waiting late = order.pollFirst();
      long target = late.request().targets().firstReplyMillis();
      long missed = (nowMillis - late.dueMillis()) / target + 1;
      Waiting renewed = new Waiting(late.request(), late.dueMillis() + missed * target);
      byId.put(renewed.id(), renewed);
      order.add(renewed);
    }
  }

  /** Returns the waiting requests in order, as a copy. */
  List<Waiting> inOrder() {
    return new ArrayList<>(order);
  }
}
