package org.curranthaven.internal.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Forecasts the memory that requests need which are more urgent than others of the same service:
 * arrival rate x memory x time held, each learnt per service and priority. Not thread-safe.
 *
 * <pre>{@code
 * reserve.recordArrival(kind, 2_200, 600, nowMillis);
 * reserve.recordEnd(kind, 2_213, 540);
 * UrgentReserve.Need need = reserve.needOfMoreUrgent(lessUrgentKind, capacityTokens, nowMillis);
 * }</pre>
 */
final class UrgentReserve {
  /** Weight of the latest request in the averages of memory and time held. */
  private static final double LATEST_REQUEST_WEIGHT = 0.05;

  /** Requests beyond the mean that are reserved for, in standard deviations of a Poisson count. */
  private static final double DEVIATIONS = 1.5;

  /** Expected number of urgent requests below which nothing is reserved for them. */
  private static final double MIN_EXPECTED_REQUESTS = 0.05;

  /**
   * Share of the requests of less urgent kinds that is served, as a share of that of all requests.
   * Above the required half, since the reserve is kept only on average.
   */
  private static final double MIN_RELATIVE_SERVED_SHARE = 0.55;

  private final Map<String, NavigableMap<Integer, Demand>> demands = new HashMap<>();

  /** What the requests of one kind need. */
  private static final class Demand {
    final ArrivalRate arrivals = new ArrivalRate();
    final LearntAverage memoryTokens;
    final LearntAverage heldMillis;

    Demand(double memoryTokens, double heldMillis) {
      this.memoryTokens = new LearntAverage(memoryTokens, LATEST_REQUEST_WEIGHT);
      this.heldMillis = new LearntAverage(heldMillis, LATEST_REQUEST_WEIGHT);
    }
  }

  /** What several kinds need together. */
  private record TotalDemand(double perMilli, double requests, double memoryTokens) {
    static TotalDemand of(Collection<Demand> demands, long nowMillis) {
      double perMilli = 0;
      double requests = 0;
      double memoryTokens = 0;
      for (Demand demand : demands) {
        double kindPerMilli = demand.arrivals.perMilli(nowMillis);
        double kindRequests = kindPerMilli * demand.heldMillis.value();
        perMilli += kindPerMilli;
        requests += kindRequests;
        memoryTokens += kindRequests * demand.memoryTokens.value();
      }
      return new TotalDemand(perMilli, requests, memoryTokens);
    }
  }

  /**
   * Memory that more urgent requests are expected to need at the same time.
   *
   * @param memoryTokens needed memory, without what fewer requests than usual leave unused
   * @param requestTokens mean memory of one of these requests
   * @param ageMillis time since the last of them arrived
   */
  record Need(double memoryTokens, double requestTokens, long ageMillis) {
    static final Need NONE = new Need(0, 0, 0);

    boolean isNone() {
      return memoryTokens <= 0;
    }
  }

  /**
   * Records the arrival of a request.
   *
   * @param memoryTokens memory that it is forecast to need
   * @param heldMillis time for which it is forecast to hold it; both count only until requests of
   *     the kind have ended
   */
  void recordArrival(RequestKind kind, double memoryTokens, double heldMillis, long nowMillis) {
    demands
        .computeIfAbsent(kind.service(), service -> new TreeMap<>())
        .computeIfAbsent(kind.priority(), priority -> new Demand(memoryTokens, heldMillis))
        .arrivals
        .record(nowMillis);
  }

  /** Records how much memory a request held at most, and for how long. */
  void recordEnd(RequestKind kind, double memoryTokens, long heldMillis) {
    Demand demand = demandsOf(kind.service()).get(kind.priority());
    if (demand != null) {
      demand.memoryTokens.record(memoryTokens);
      demand.heldMillis.record((double) heldMillis);
    }
  }

  private NavigableMap<Integer, Demand> demandsOf(String service) {
    return demands.getOrDefault(service, new TreeMap<>());
  }

  /**
   * Returns the need of the requests that are more urgent than the given kind.
   *
   * @param capacityTokens memory of all engines of the service
   */
  Need needOfMoreUrgent(RequestKind kind, double capacityTokens, long nowMillis) {
    NavigableMap<Integer, Demand> ofService = demandsOf(kind.service());
    Collection<Demand> urgentKinds = ofService.headMap(kind.priority(), false).values();
    TotalDemand urgent = TotalDemand.of(urgentKinds, nowMillis);
    if (urgent.requests() < MIN_EXPECTED_REQUESTS) {
      return Need.NONE;
    }
    TotalDemand others =
        TotalDemand.of(ofService.tailMap(kind.priority(), true).values(), nowMillis);
    double requestTokens = urgent.memoryTokens() / urgent.requests();
    double requests = urgent.requests() * servedShare(urgent, others, capacityTokens);
    double reservedRequests = requests + DEVIATIONS * Math.sqrt(requests);
    long ageMillis =
        urgentKinds.stream()
            .mapToLong(demand -> demand.arrivals.ageMillis(nowMillis))
            .min()
            .orElse(0);
    return new Need(reservedRequests * requestTokens, requestTokens, ageMillis);
  }

  /**
   * Returns the share of the urgent requests for which memory is reserved: all of them, or less if
   * too small a share of the others were served then.
   */
  private static double servedShare(TotalDemand urgent, TotalDemand others, double capacityTokens) {
    double othersPerUrgentShare =
        MIN_RELATIVE_SERVED_SHARE
            * urgent.perMilli()
            / (urgent.perMilli() + (1 - MIN_RELATIVE_SERVED_SHARE) * others.perMilli());
    double neededTokens = urgent.memoryTokens() + othersPerUrgentShare * others.memoryTokens();
    return neededTokens <= capacityTokens ? 1 : capacityTokens / neededTokens;
  }
}
