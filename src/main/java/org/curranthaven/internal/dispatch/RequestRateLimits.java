package org.curranthaven.internal.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.curranthaven.internal.transport.wire.RateLimitRecord;
import org.jspecify.annotations.Nullable;

/**
 * Limits on requests that backend servers state in their responses, those of cold servers, and the
 * requests placed under them; of two limits for one backend server, the lower counts. A stated
 * limit holds for one incarnation of a backend server until a response without limit shows that it
 * has ended.
 *
 * <pre>{@code
 * limits.state("i-7", 3.6, placedAtMillis, nowMillis);
 * if (limits.allows("i-7", nowMillis)) {
 *   limits.recordPlacement("i-7", nowMillis);
 * }
 * }</pre>
 *
 * <p>Responses overtake each other on their connections, so times of arrival alone do not tell
 * which statement is the newer one. All times are of this host's clock. Not thread-safe.
 */
public final class RequestRateLimits {
  /** Time within which a response to an earlier request may have been overtaken by a later one. */
  static final long OVERTAKING_MILLIS = 1_000;

  /**
   * Time in which the rate doubles after a limit has ended: all of its share at once could bring
   * the backend server back into need.
   */
  private static final double DOUBLING_MILLIS = 500;

  /** Time from the end of a limit until the backend server is used like any other. */
  static final long RAMP_MILLIS = 2_000;

  /**
   * Time for which the limit of an unknown backend server is kept: one whose registrations are late
   * may come back.
   */
  private static final long UNKNOWN_RETENTION_MILLIS = 60_000;

  /** Time for which a limit that this host heard of outlasts a list from before it. */
  private static final long REPORT_MILLIS = 500;

  private final @Nullable RandomGenerator spread;
  private final Map<String, Limit> limits = new LinkedHashMap<>();
  private final ColdServers coldServers;
  private double share = 1;
  private long version = 1;

  /** The limit of one backend server. */
  private static final class Limit {
    final RateLimiter limiter;
    double requestsPerSecond;

    /** When a response last stated the limit. */
    long statedAtMillis;

    /** When the request was placed whose response is the latest known, and when that arrived. */
    long latestPlacedAtMillis;

    long latestAtMillis;
    boolean ended;
    long endedAtMillis;

    Limit(RateLimiter limiter) {
      this.limiter = limiter;
    }

    boolean isOvertaken(long placedAtMillis, long nowMillis) {
      return placedAtMillis < latestPlacedAtMillis
          && nowMillis - latestAtMillis <= OVERTAKING_MILLIS;
    }

    void recordLatest(long placedAtMillis, long nowMillis) {
      latestPlacedAtMillis = placedAtMillis;
      latestAtMillis = nowMillis;
    }

    /** Returns the rate to keep, which grows after the limit has ended. */
    double rate(long nowMillis) {
      double rate = Math.max(RateLimiter.MIN_REQUESTS_PER_SECOND, requestsPerSecond);
      return ended ? rate * StrictMath.pow(2, (nowMillis - endedAtMillis) / DOUBLING_MILLIS) : rate;
    }

    boolean isOver(long nowMillis) {
      return ended && nowMillis - endedAtMillis >= RAMP_MILLIS;
    }
  }

  private RequestRateLimits(@Nullable RandomGenerator spread) {
    this.spread = spread;
    this.coldServers = new ColdServers(spread);
  }

  /** Creates limits for the host that places the requests of all gateways. */
  public static RequestRateLimits ofScheduler() {
    return new RequestRateLimits(null);
  }

  /** Creates limits for a gateway, which shares the rates with others unknown to it. */
  public static RequestRateLimits ofGateway(RandomGenerator random) {
    return new RequestRateLimits(random);
  }

  /** Sets the share of the stated rates that this host may use. */
  public void setShare(double newShare) {
    share = newShare;
    coldServers.setShare(newShare);
  }

  /** Returns the backend servers that are cold, and their limits. */
  public ColdServers coldServers() {
    return coldServers;
  }

  // ---- statements -------------------------------------------------------------------------------

  /**
   * Handles a response that states a limit. One that a later response has overtaken changes
   * nothing.
   *
   * @param placedAtMillis when the request was placed, which is before the response was made
   * @return whether the limit is new or has changed
   */
  public boolean state(
      String backend, double requestsPerSecond, long placedAtMillis, long nowMillis) {
    Limit limit = limits.get(backend);
    if (limit != null && limit.isOvertaken(placedAtMillis, nowMillis)) {
      limit.statedAtMillis = nowMillis;
      return false;
    }
    boolean changed = limit == null || limit.ended || limit.requestsPerSecond != requestsPerSecond;
    Limit stated = put(backend, requestsPerSecond, nowMillis);
    stated.statedAtMillis = nowMillis;
    stated.recordLatest(placedAtMillis, nowMillis);
    return changed;
  }

  /**
   * Handles a response without limit. Only one to a request that was placed after the limit was
   * last stated is newer for certain, and ends it.
   *
   * @return whether a limit has ended
   */
  public boolean end(String backend, long placedAtMillis, long nowMillis) {
    Limit limit = limits.get(backend);
    if (limit == null || limit.ended || placedAtMillis < limit.statedAtMillis) {
      return false;
    }
    limit.ended = true;
    limit.endedAtMillis = nowMillis;
    limit.recordLatest(placedAtMillis, nowMillis);
    version++;
    return true;
  }

  private Limit put(String backend, double requestsPerSecond, long nowMillis) {
    Limit limit =
        limits.computeIfAbsent(backend, id -> new Limit(new RateLimiter(spread, nowMillis)));
    if (limit.ended || limit.requestsPerSecond != requestsPerSecond || limit.statedAtMillis == 0) {
      version++;
    }
    limit.ended = false;
    limit.requestsPerSecond = requestsPerSecond;
    limit.limiter.setRate(share * limit.rate(nowMillis), nowMillis);
    return limit;
  }

  /** Returns whether the backend server has a limit that has not ended. */
  public boolean isLimited(String backend) {
    Limit limit = limits.get(backend);
    return limit != null && !limit.ended;
  }

  /** Returns the limits that have not ended, by backend server. */
  public SortedMap<String, Double> stated() {
    SortedMap<String, Double> stated = new TreeMap<>();
    limits.forEach(
        (backend, limit) -> {
          if (!limit.ended) {
            stated.put(backend, limit.requestsPerSecond);
          }
        });
    return stated;
  }

  // ---- placement --------------------------------------------------------------------------------

  /** Returns whether a request may be placed on the backend server now. */
  boolean allows(String backend, long nowMillis) {
    Limit limit = currentLimit(backend, nowMillis);
    return (limit == null || limit.limiter.allows(nowMillis))
        && coldServers.allows(backend, nowMillis);
  }

  /** Counts a request that reaches the backend server. */
  void recordPlacement(String backend, long nowMillis) {
    Limit limit = currentLimit(backend, nowMillis);
    if (limit != null) {
      limit.limiter.recordPlacement(nowMillis);
    }
    coldServers.recordPlacement(backend, nowMillis);
  }

  /** Returns the requests a second that this host may place; infinity if they are not limited. */
  double requestsPerSecond(String backend, long nowMillis) {
    return Math.min(
        statedRequestsPerSecond(backend, nowMillis),
        coldServers.requestsPerSecond(backend, nowMillis));
  }

  private double statedRequestsPerSecond(String backend, long nowMillis) {
    Limit limit = limits.get(backend);
    return limit == null || limit.isOver(nowMillis)
        ? Double.POSITIVE_INFINITY
        : share * limit.rate(nowMillis);
  }

  /** Returns the part of a request that the rate has allowed already; 0 without a limit. */
  double accruedRequests(String backend, long nowMillis) {
    double coldRate = coldServers.requestsPerSecond(backend, nowMillis);
    if (coldRate < statedRequestsPerSecond(backend, nowMillis)) {
      return coldServers.accruedRequests(backend, nowMillis);
    }
    Limit limit = currentLimit(backend, nowMillis);
    return limit == null ? 0 : limit.limiter.tokens(nowMillis);
  }

  private @Nullable Limit currentLimit(String backend, long nowMillis) {
    Limit limit = limits.get(backend);
    if (limit == null || limit.isOver(nowMillis)) {
      return null;
    }
    limit.limiter.setRate(share * limit.rate(nowMillis), nowMillis);
    return limit;
  }

  /** Discards limits that have ended, and those of backend servers that are gone. */
  public void discard(Predicate<String> isKnown, long nowMillis) {
    coldServers.discard(isKnown);
    limits
        .entrySet()
        .removeIf(
            entry -> {
              Limit limit = entry.getValue();
              boolean gone =
                  !isKnown.test(entry.getKey())
                      && nowMillis - limit.statedAtMillis > UNKNOWN_RETENTION_MILLIS;
              return limit.isOver(nowMillis) || gone;
            });
  }

  // ---- exchange between hosts -------------------------------------------------------------------

  /** Returns a number that grows with each change to the limits. */
  public long version() {
    return version;
  }

  /** Returns the limits that have not ended, for another host. */
  public List<RateLimitRecord> export(long nowMillis) {
    List<RateLimitRecord> records = new ArrayList<>();
    limits.forEach(
        (backend, limit) -> {
          if (!limit.ended) {
            records.add(
                RateLimitRecord.newBuilder()
                    .setBackend(backend)
                    .setRequestsPerSecond(limit.requestsPerSecond)
                    .setStatedAgeMillis(Math.max(0, nowMillis - limit.statedAtMillis))
                    .build());
          }
        });
    return records;
  }

  /** Adds the limits that another host knows; of two for one backend server, the newer counts. */
  public void merge(Collection<RateLimitRecord> records, long nowMillis) {
    for (RateLimitRecord record : records) {
      long statedAtMillis = nowMillis - record.getStatedAgeMillis();
      Limit known = limits.get(record.getBackend());
      if (known == null || known.ended || statedAtMillis >= known.statedAtMillis) {
        Limit limit = put(record.getBackend(), record.getRequestsPerSecond(), nowMillis);
        limit.statedAtMillis = statedAtMillis;
        limit.recordLatest(statedAtMillis, nowMillis);
      }
    }
  }

  /**
   * Replaces the limits by the scheduler's complete list. A limit that this host has just heard of
   * stays: the list may have been sent before its report arrived.
   */
  public void replace(Collection<RateLimitRecord> records, long nowMillis) {
    Set<String> listed = new HashSet<>();
    records.forEach(record -> listed.add(record.getBackend()));
    limits
        .entrySet()
        .removeIf(
            entry ->
                !listed.contains(entry.getKey())
                    && nowMillis - entry.getValue().statedAtMillis > REPORT_MILLIS);
    merge(records, nowMillis);
  }
}
