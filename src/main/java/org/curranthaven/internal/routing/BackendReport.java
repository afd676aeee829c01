package org.curranthaven.internal.routing;

import java.util.Set;

/**
 * Load that a backend server reported.
 *
 * @param name name of the backend server
 * @param dataCentre data centre in which it runs
 * @param models models that it serves, or {@code service:NAME} for a plain service
 * @param blocksTotal total number of memory blocks; 0 for a plain service
 * @param blocksUsed number of memory blocks in use
 * @param running number of requests being decoded
 * @param waiting number of requests queued inside the backend server
 * @param maxBatch largest number of requests decoded at once; 0 means no limit
 * @param sentAtMillis time at which the report was sent, on this host's clock
 * @param loadedAtMillis time at which the backend server became ready, on this host's clock
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

  /** Returns a copy of this report with another sending time. */
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
