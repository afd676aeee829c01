package org.curranthaven.internal.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Memory that running requests were given, by kind and by workspace. Not thread-safe. Keeps sums,
 * so that a decision need not read all running requests.
 */
final class MemoryInUse {
  private record Owner(String service, String workspace) {}

  /** Memory that one running request was given. */
  record Use(RequestKind kind, String workspace, double memoryTokens, long sinceMillis) {}

  private final Map<RequestId, Use> uses = new HashMap<>();
  private final Map<String, NavigableMap<Integer, Double>> byPriority = new HashMap<>();
  private final Map<Owner, Double> byOwner = new HashMap<>();

  void add(RunningRequest running, long nowMillis) {
    remove(running.id);
    RequestKind kind = RequestKind.of(running.request);
    Use use = new Use(kind, running.request.getWorkspace(), running.memoryTokens(), nowMillis);
    uses.put(running.id, use);
    change(use, use.memoryTokens());
  }

  /** Returns the memory that ends being in use; null if the request used none. */
  @Nullable Use remove(RequestId requestId) {
    Use use = uses.remove(requestId);
    if (use != null) {
      change(use, -use.memoryTokens());
    }
    return use;
  }

  private void change(Use use, double tokens) {
    byPriority
        .computeIfAbsent(use.kind().service(), service -> new TreeMap<>())
        .merge(use.kind().priority(), tokens, Double::sum);
    Owner owner = new Owner(use.kind().service(), use.workspace());
    double ofOwner = byOwner.merge(owner, tokens, Double::sum);
    // A sum of fractions may not return to 0 exactly.
    if (ofOwner < 0.5) {
      byOwner.remove(owner);
    }
  }

  /** Returns the memory in use by requests that are more urgent than the kind. */
  double tokensOfMoreUrgent(RequestKind kind) {
    NavigableMap<Integer, Double> ofService = byPriority.get(kind.service());
    return ofService == null
        ? 0
        : ofService.headMap(kind.priority(), false).values().stream()
            .mapToDouble(Double::doubleValue)
            .sum();
  }

  double tokensOf(String service, String workspace) {
    return byOwner.getOrDefault(new Owner(service, workspace), 0.0);
  }
}
