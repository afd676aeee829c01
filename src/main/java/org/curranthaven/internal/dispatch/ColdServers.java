package org.curranthaven.internal.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.ColdStart;
import org.curranthaven.internal.catalog.ServiceSpec;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.jspecify.annotations.Nullable;

/**
 * Until when backend servers are cold, and the rate of requests that each accepts until then. Has
 * no effect on services whose cold rate the catalog does not state. All times are of this host's
 * clock; hosts exchange the time that is left. Not thread-safe.
 *
 * <pre>{@code
 * coldServers.register(registration, nowMillis);
 * boolean allowed = coldServers.allows("i-7", nowMillis);
 * }</pre>
 */
public final class ColdServers {
  /**
   * Share of the cold rate that hosts use together while each places requests unknown to the
   * others. Their requests arrive at random times then, so that in some seconds there are more than
   * on average: of 95 hosts with 24 requests/s, 19 with a standard deviation of 4.
   */
  private static final double SPREAD_SHARE = 0.8;

  private static final long LONG_AGO_MILLIS = Long.MIN_VALUE / 2;

  private final @Nullable RandomGenerator spread;
  private final Map<String, ColdServer> servers = new HashMap<>();
  private final Set<String> unpublished = new LinkedHashSet<>();
  private Catalog catalog = Catalog.empty();
  private double share = 1;

  /** What is known of one backend server. */
  private static final class ColdServer {
    final String service;
    final String dataCentre;

    /** When it registered for the first time; long ago if another host knew it. */
    long firstRegisteredAtMillis;

    /** Whether it crashed, so that its next registration is the first one after its start. */
    boolean crashed;

    long coldUntilMillis;
    boolean coldUntilRegistered;

    /** Whether this host has received a registration of it, or the scheduler's record. */
    boolean registered;

    /** Limit on its requests; null while it is not cold. */
    @Nullable PlacementLimiter limiter;

    /** Cold figures of its service; null if it has none. */
    @Nullable ColdStart coldStart;

    ColdServer(BackendRecord record, long firstRegisteredAtMillis, @Nullable ColdStart coldStart) {
      this.service = record.getService();
      this.dataCentre = record.getDataCentre();
      this.firstRegisteredAtMillis = firstRegisteredAtMillis;
      this.coldStart = coldStart;
    }
  }

  /**
   * Creates an empty set.
   *
   * @param spread source of random times at which this host uses its share; null for the only host
   *     that places requests
   */
  ColdServers(@Nullable RandomGenerator spread) {
    this.spread = spread;
  }

  /** Activates a catalog, which states the cold figures of the services. */
  public void setCatalog(Catalog newCatalog) {
    catalog = newCatalog;
    servers.values().forEach(server -> server.coldStart = coldStartOf(server.service));
  }

  private @Nullable ColdStart coldStartOf(String service) {
    ServiceSpec spec = catalog.service(service);
    return spec == null ? null : spec.coldStart();
  }

  /** Sets the share of the cold rates that this host may use. */
  public void setShare(double newShare) {
    share = spread == null ? newShare : newShare * SPREAD_SHARE;
  }

  // ---- cold times -------------------------------------------------------------------------------

  /**
   * Handles a registration or, on a gateway, a record that the scheduler published. A backend
   * server whose first registration the scheduler receives has probably just started, and is cold
   * for as long as its service states.
   */
  public void register(BackendRecord record, long nowMillis) {
    long firstAtMillis = spread == null ? nowMillis : LONG_AGO_MILLIS;
    ColdServer server = find(record, firstAtMillis);
    if (server.crashed) {
      server.crashed = false;
      server.firstRegisteredAtMillis = firstAtMillis;
    }
    server.registered = true;
    server.coldUntilMillis = nowMillis + record.getColdLeftMillis();
    server.coldUntilRegistered = record.getColdUntilRegistered();
    limiterOf(record.getId(), nowMillis);
  }

  /** Adds what a gateway knows of a backend server; of several cold times, the longest counts. */
  public void restore(BackendRecord record, long nowMillis) {
    ColdServer server = find(record, LONG_AGO_MILLIS);
    long coldUntilMillis = nowMillis + record.getColdLeftMillis();
    server.coldUntilMillis = Math.max(server.coldUntilMillis, coldUntilMillis);
    if (!server.registered) {
      server.coldUntilRegistered |= record.getColdUntilRegistered();
    }
  }

  private ColdServer find(BackendRecord record, long firstRegisteredAtMillis) {
    return servers.computeIfAbsent(
        record.getId(),
        id -> new ColdServer(record, firstRegisteredAtMillis, coldStartOf(record.getService())));
  }

  /** Counts the data centre's backend servers as cold until each registers again. */
  void markColdUntilRegistered(String dataCentre, long nowMillis) {
    servers.forEach(
        (id, server) -> {
          if (server.dataCentre.equals(dataCentre)) {
            server.coldUntilRegistered = true;
            unpublished.add(id);
            limiterOf(id, nowMillis);
          }
        });
  }

  /**
   * Handles the report that a backend server crashed: if it is back before it registers, it is
   * cold.
   */
  void recordCrash(String id, long nowMillis) {
    ColdServer server = servers.get(id);
    if (server != null && server.coldStart != null && !server.crashed) {
      server.crashed = true;
      server.coldUntilRegistered = true;
      unpublished.add(id);
      limiterOf(id, nowMillis);
    }
  }

  /** Returns whether the backend server counts as cold because it has not registered since. */
  boolean isColdUntilRegistered(String id) {
    ColdServer server = servers.get(id);
    return server != null && server.coldUntilRegistered;
  }

  /** Returns and clears the ids that count as cold until they register, for the gateways. */
  public List<String> takeUnpublished() {
    List<String> taken = List.copyOf(unpublished);
    unpublished.clear();
    return taken;
  }

  /** Forgets a backend server that is gone. */
  public void remove(String id) {
    servers.remove(id);
    unpublished.remove(id);
  }

  /** Forgets the backend servers that are not known. */
  void discard(Predicate<String> isKnown) {
    servers.keySet().removeIf(id -> !isKnown.test(id));
  }

  /** Returns the records with the cold times that are left now, for other hosts. */
  public List<BackendRecord> withColdTimes(Collection<BackendRecord> records, long nowMillis) {
    List<BackendRecord> current = new ArrayList<>();
    records.forEach(record -> current.add(withColdTime(record, nowMillis)));
    return current;
  }

  /** Returns the times for which backend servers with a limit are cold still, for operators. */
  public SortedMap<String, Long> coldLeftMillis(long nowMillis) {
    SortedMap<String, Long> left = new TreeMap<>();
    servers.forEach(
        (id, server) -> {
          if (Double.isFinite(requestsPerSecond(server, nowMillis))) {
            left.put(id, Math.max(0, coldUntilMillis(server) - nowMillis));
          }
        });
    return left;
  }

  private BackendRecord withColdTime(BackendRecord record, long nowMillis) {
    ColdServer server = servers.get(record.getId());
    if (server == null) {
      return record;
    }
    return record.toBuilder()
        .setColdLeftMillis(Math.max(0, coldUntilMillis(server) - nowMillis))
        .setColdUntilRegistered(server.coldUntilRegistered)
        .build();
  }

  private long coldUntilMillis(ColdServer server) {
    ColdStart coldStart = server.coldStart;
    return coldStart == null
        ? server.coldUntilMillis
        : Math.max(
            server.coldUntilMillis, server.firstRegisteredAtMillis + coldStart.durationMillis());
  }

  // ---- placement --------------------------------------------------------------------------------

  /** Returns whether the backend server is cold and accepts requests only at its cold rate. */
  boolean isLimited(String id, long nowMillis) {
    return limiterOf(id, nowMillis) != null;
  }

  /** Returns whether a request may be placed on the backend server now. */
  boolean allows(String id, long nowMillis) {
    PlacementLimiter limiter = limiterOf(id, nowMillis);
    return limiter == null || limiter.allows(nowMillis);
  }

  /** Counts a request that reaches the backend server. */
  void recordPlacement(String id, long nowMillis) {
    PlacementLimiter limiter = limiterOf(id, nowMillis);
    if (limiter != null) {
      limiter.recordPlacement(nowMillis);
    }
  }

  /** Returns the requests a second that this host may place; infinity if it is not limited. */
  double requestsPerSecond(String id, long nowMillis) {
    ColdServer server = servers.get(id);
    return server == null ? Double.POSITIVE_INFINITY : requestsPerSecond(server, nowMillis);
  }

  private double requestsPerSecond(ColdServer server, long nowMillis) {
    ColdStart coldStart = server.coldStart;
    boolean cold = server.coldUntilRegistered || nowMillis < coldUntilMillis(server);
    return coldStart == null || !cold
        ? Double.POSITIVE_INFINITY
        : share * coldStart.requestsPerSecond();
  }

  /** Returns the part of a request that the rate has allowed already; 0 without a limit. */
  double accruedRequests(String id, long nowMillis) {
    PlacementLimiter limiter = limiterOf(id, nowMillis);
    return limiter == null ? 0 : limiter.tokens(nowMillis);
  }

  private @Nullable PlacementLimiter limiterOf(String id, long nowMillis) {
    ColdServer server = servers.get(id);
    if (server == null) {
      return null;
    }
    double requestsPerSecond = requestsPerSecond(server, nowMillis);
    if (Double.isInfinite(requestsPerSecond)) {
      server.limiter = null;
    } else {
      if (server.limiter == null) {
        server.limiter = newLimiter(requestsPerSecond, nowMillis);
      }
      server.limiter.setRate(requestsPerSecond, nowMillis);
    }
    return server.limiter;
  }

  private PlacementLimiter newLimiter(double requestsPerSecond, long nowMillis) {
    return spread == null
        ? new RateLimiter(null, nowMillis)
        : new SpacedRateLimiter(spread, requestsPerSecond, nowMillis);
  }
}
