package org.curranthaven.internal.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.jspecify.annotations.Nullable;

/** Requests that wait for capacity, by service and rank. Not thread-safe. */
final class DispatchQueue {
  private static final int MAX_QUEUED = 20_000;

  private final Map<String, ServiceQueue> byService = new HashMap<>();
  private final Map<RequestId, QueuedRequest> byId = new HashMap<>();
  private long nextSequenceNumber;

  int size() {
    return byId.size();
  }

  boolean contains(RequestId requestId) {
    return byId.containsKey(requestId);
  }

  boolean isFull() {
    return byId.size() >= MAX_QUEUED;
  }

  long takeSequenceNumber() {
    return nextSequenceNumber++;
  }

  /** Returns the queued requests of the service in the order in which they are to be served. */
  NavigableSet<QueuedRequest> requestsOf(String service) {
    return of(service).byRank();
  }

  /** Returns the queue of the service. */
  ServiceQueue of(String service) {
    return byService.computeIfAbsent(service, key -> new ServiceQueue());
  }

  List<String> services() {
    return List.copyOf(byService.keySet());
  }

  List<RequestId> ids() {
    return List.copyOf(byId.keySet());
  }

  void add(QueuedRequest queued) {
    of(queued.request().getService()).add(queued);
    byId.put(queued.id(), queued);
  }

  /** Returns the placement request of a queued request. */
  PlacementRequest requestOf(RequestId requestId) {
    QueuedRequest queued = byId.get(requestId);
    return queued == null ? PlacementRequest.getDefaultInstance() : queued.request();
  }

  /** Removes and returns a request; returns null if it is not queued. */
  @Nullable QueuedRequest remove(RequestId requestId) {
    QueuedRequest queued = byId.remove(requestId);
    if (queued != null) {
      of(queued.request().getService()).remove(queued);
    }
    return queued;
  }

  /** Returns the requests whose time in the queue has expired. */
  List<QueuedRequest> expired(long nowMillis) {
    List<QueuedRequest> expired = new ArrayList<>();
    for (QueuedRequest queued : byId.values()) {
      if (nowMillis >= queued.expiresAtMillis()) {
        expired.add(queued);
      }
    }
    return expired;
  }
}
