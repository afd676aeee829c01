package org.curranthaven.internal.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Holds workspaces to their requests a second over all hosts: each host allows an equal share of
 * the limit, saved up for at most {@link #BURST_MILLIS}.
 *
 * <p>Error: while a balancer spreads requests evenly, the fleet allows between the limit and the
 * limit plus one request a host at once; a workspace that reaches only k of n hosts gets k/n of its
 * limit. Not thread-safe.
 */
public final class WorkspaceLimiter {
  /** Time for which an unused share is saved up, in milliseconds. */
  public static final long BURST_MILLIS = 1_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final Map<String, Bucket> buckets = new HashMap<>();

  private static final class Bucket {
    double tokens = 1;
    long refilledAtMillis;

    Bucket(long nowMillis) {
      this.refilledAtMillis = nowMillis;
    }
  }

  /**
   * Takes a request of the workspace from its share.
   *
   * @param requestsPerSecond limit over all hosts; 0 means no limit
   * @param hosts number of hosts, this one included
   * @return 0 if the request is allowed, else the time to wait, in milliseconds
   */
  public long tryAcquire(String workspace, double requestsPerSecond, int hosts, long nowMillis) {
    if (requestsPerSecond <= 0) {
      return 0;
    }
    double perMillis = requestsPerSecond / Math.max(1, hosts) / MILLIS_PER_SECOND;
    Bucket bucket = buckets.computeIfAbsent(workspace, name -> new Bucket(nowMillis));
    double most = Math.max(1, perMillis * BURST_MILLIS);
    double filled = bucket.tokens + perMillis * (nowMillis - bucket.refilledAtMillis);
    bucket.tokens = Math.min(most, filled);
    bucket.refilledAtMillis = nowMillis;
    if (bucket.tokens >= 1) {
      bucket.tokens--;
      return 0;
    }
    return (long) Math.ceil((1 - bucket.tokens) / perMillis);
  }
}
