package org.curranthaven.internal.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Retries that are allowed and wait for their placement. They reach a backend server later than
 * they were allowed, so they take up room among the retries of the window until they are placed,
 * and count from then on. Not thread-safe.
 */
final class WaitingRetries {
  private final Map<RequestId, Retry> retries = new HashMap<>();

  /**
   * A retry that waits.
   *
   * @param onReserve whether it was allowed on the reserve of its gateway
   */
  record Retry(String service, boolean onReserve) {}

  void add(RequestId requestId, String service, boolean onReserve) {
    retries.put(requestId, new Retry(service, onReserve));
  }

  /** Removes a retry that waits no longer; returns null if it did not wait. */
  @Nullable Retry remove(RequestId requestId) {
    return retries.remove(requestId);
  }

  void clear() {
    retries.clear();
  }

  /** Returns how many retries of a service wait. */
  int count(String service) {
    return (int) retries.values().stream().filter(retry -> retry.service().equals(service)).count();
  }

  /** Returns how many retries of a service wait that were allowed on the reserve of a gateway. */
  int countOnReserve(String service, String gateway) {
    return (int)
        retries.entrySet().stream()
            .filter(entry -> entry.getKey().gateway().equals(gateway))
            .filter(
                entry -> entry.getValue().onReserve() && entry.getValue().service().equals(service))
            .count();
  }
}
