package org.curranthaven.internal.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/** The calls that wait for room, by service and rank. Not thread-safe. */
final class WaitingCalls {
  private static final int MAX_WAITING = 20_000;

  private final Map<String, NavigableSet<WaitingCall>> byService = new HashMap<>();
  private final Map<CallKey, WaitingCall> byKey = new HashMap<>();
  private long nextOrder;

  int size() {
    return byKey.size();
  }

  boolean contains(CallKey key) {
    return byKey.containsKey(key);
  }

  boolean isFull() {
    return byKey.size() >= MAX_WAITING;
  }

  long takeOrder() {
    return nextOrder++;
  }

  /** Returns the service's calls, the first to be served first. */
  NavigableSet<WaitingCall> of(String service) {
    return byService.computeIfAbsent(service, name -> new TreeSet<>(WaitingCall.BY_RANK));
  }

  List<String> services() {
    return List.copyOf(byService.keySet());
  }

  List<CallKey> keys() {
    return List.copyOf(byKey.keySet());
  }

  void add(WaitingCall call) {
    of(call.ask().getService()).add(call);
    byKey.put(call.key(), call);
  }

  /** Removes a call; returns it, or null if it does not wait. */
  @Nullable WaitingCall remove(CallKey key) {
    WaitingCall call = byKey.remove(key);
    if (call != null) {
      of(call.ask().getService()).remove(call);
    }
    return call;
  }

  /** Returns the calls whose time to wait is up. */
  List<WaitingCall> due(long nowMillis) {
    List<WaitingCall> due = new ArrayList<>();
    for (WaitingCall call : byKey.values()) {
      if (nowMillis >= call.giveUpAtMillis()) {
        due.add(call);
      }
    }
    return due;
  }
}
