package org.curranthaven.internal.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Rate limiter that enforces each workspace's limit of requests a second over all hosts: each host
 * allows an equal share of the limit from a token bucket that holds at most {@link #BURST_MILLIS}
 * of that share.
 *
 * <p>Accuracy: while a load balancer spreads requests evenly, the fleet allows between the limit
 * and the limit plus one simultaneous request per host; a workspace that reaches only k of n hosts
 * gets k/n of its limit. Not thread-safe.
 */
public final class WorkspaceLimiter {
  /** Time over which an unused share accumulates, in milliseconds. */
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
   * Takes one request out of the workspace's share if the limit allows it.
   *
   * @param requestsPerSecond limit over all hosts; 0 means no limit
   * @param hosts number of hosts, including this one
   * @return 0 if the request is allowed, else the delay after which it will be, in milliseconds
   */
  public long tryAcquire(String workspace, double requestsPerSecond, int hosts, long nowMillis) {
    if (requestsPerSecond <= 0) {
      return 0;
    }
    double tokensPerMilli = requestsPerSecond / Math.max(1, hosts) / MILLIS_PER_SECOND;
    Bucket bucket = buckets.computeIfAbsent(workspace, name -> new Bucket(nowMillis));
    double capacity = Math.max(1, tokensPerMilli * BURST_MILLIS);
    double refilled = bucket.tokens + tokensPerMilli * (nowMillis - bucket.refilledAtMillis);
    bucket.tokens = Math.min(capacity, refilled);
    bucket.refilledAtMillis = nowMillis;
    if (bucket.tokens >= 1) {
      bucket.tokens--;
      return 0;
    }
    return (long) Math.ceil((1 - bucket.tokens) / tokensPerMilli);
  }
}
