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
  private static final int MAX_QUEUED = 20_000;

  private final Map<String, NavigableSet<QueuedRequest>> byService = new HashMap<>();
  private final Map<RequestId, QueuedRequest> byId = new HashMap<>();
  private long nextSequenceNumber;

  int size() {
    return byId.size();
  }

  boolean contains(RequestId key) {
    return byId.containsKey(key);
  }

  boolean isFull() {
    return byId.size() >= MAX_QUEUED;
  }

  long takeSequenceNumber() {
    return nextSequenceNumber++;
  }

  /** Returns the service's calls, the first to be served first. */
  NavigableSet<QueuedRequest> requestsOf(String service) {
    return byService.computeIfAbsent(service, name -> new TreeSet<>(QueuedRequest.BY_RANK));
  }

  List<String> services() {
    return List.copyOf(byService.keySet());
  }

  List<RequestId> ids() {
    return List.copyOf(byId.keySet());
  }

  void add(QueuedRequest call) {
    requestsOf(call.request().getService()).add(call);
    byId.put(call.id(), call);
  }

  /** Removes a call; returns it, or null if it does not wait. */
  @Nullable QueuedRequest remove(RequestId key) {
    QueuedRequest call = byId.remove(key);
    if (call != null) {
      requestsOf(call.request().getService()).remove(call);
    }
    return call;
  }

  /** Returns the calls whose time to wait is up. */
  List<QueuedRequest> expired(long nowMillis) {
    List<QueuedRequest> due = new ArrayList<>();
    for (QueuedRequest call : byId.values()) {
      if (nowMillis >= call.expiresAtMillis()) {
        due.add(call);
      }
    }
    return due;
  }
}
