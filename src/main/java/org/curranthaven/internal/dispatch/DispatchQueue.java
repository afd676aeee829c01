package org.curranthaven.internal.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/** The calls that wait for room, by service and rank. Not thread-safe. */
final class DispatchQueue {
  private static final int MAX_WAITING = 20_000;

  private final Map<String, NavigableSet<QueuedRequest>> byService = new HashMap<>();
  private final Map<RequestId, QueuedRequest> byKey = new HashMap<>();
  private long nextOrder;

  int size() {
    return byKey.size();
  }

  boolean contains(RequestId key) {
    return byKey.containsKey(key);
  }

  boolean isFull() {
    return byKey.size() >= MAX_WAITING;
  }

  long takeOrder() {
    return nextOrder++;
  }

  /** Returns the service's calls, the first to be served first. */
  NavigableSet<QueuedRequest> of(String service) {
    return byService.computeIfAbsent(service, name -> new TreeSet<>(QueuedRequest.BY_RANK));
  }

  List<String> services() {
    return List.copyOf(byService.keySet());
  }

  List<RequestId> keys() {
    return List.copyOf(byKey.keySet());
  }

  void add(QueuedRequest call) {
    of(call.ask().getService()).add(call);
    byKey.put(call.key(), call);
  }

  /** Removes a call; returns it, or null if it does not wait. */
  @Nullable QueuedRequest remove(RequestId key) {
    QueuedRequest call = byKey.remove(key);
    if (call != null) {
      of(call.ask().getService()).remove(call);
    }
    return call;
  }

  /** Returns the calls whose time to wait is up. */
  List<QueuedRequest> due(long nowMillis) {
    List<QueuedRequest> due = new ArrayList<>();
    for (QueuedRequest call : byKey.values()) {
      if (nowMillis >= call.giveUpAtMillis()) {
        due.add(call);
      }
    }
    return due;
  }
}
