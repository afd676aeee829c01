package org.curranthaven.internal.routing;

import java.util.Set;

/**
 * Load of a backend server as it reported it.
 *
 * @param name name of the server
 * @param dataCentre data centre it stands in
 * @param models models it serves, or {@code service:NAME}
 * @param blocksTotal memory blocks in all; 0 for a plain service
 * @param blocksUsed memory blocks in use
 * @param running requests being decoded
 * @param waiting requests waiting inside the server
 * @param maxBatch most requests decoded at once
 * @param sentAtMillis when it was sent, on this host's clock
 * @param loadedAtMillis when the server became ready, on this host's clock
 */
public record BackendReport(
    String name,
    String dataCentre,
    Set<String> models,
    int blocksTotal,
    int blocksUsed,
    int running,
    int waiting,
    int maxBatch,
    long sentAtMillis,
    long loadedAtMillis) {
  public BackendReport {
    models = Set.copyOf(models);
  }

  /** Returns the same report with another time of sending. */
  public BackendReport withSentAtMillis(long millis) {
    return new BackendReport(
        name,
        dataCentre,
        models,
        blocksTotal,
        blocksUsed,
        running,
        waiting,
        maxBatch,
        millis,
        loadedAtMillis);
  }
}
