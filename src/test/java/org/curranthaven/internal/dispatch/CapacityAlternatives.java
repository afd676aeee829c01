package org.curranthaven.internal.dispatch;

import java.util.HashMap;
import java.util.Map;

/** Other ways to find out how much a server takes well, compared with {@link ServerCapacity}. */
final class CapacityAlternatives {
  private CapacityAlternatives() {}

  /** Places by the requests on a server, compared with a limit that is found by trying. */
  private abstract static class ByLimit extends CapacityPolicies.ByCost {
    static final double START_LIMIT = 6;
    static final double MIN_LIMIT = 1;
    final Map<String, Double> limits = new HashMap<>();

    ByLimit(PlainServerSimulation simulation) {
      super(simulation);
    }

    double limitOf(String server) {
      return limits.getOrDefault(server, START_LIMIT);
    }

    void setLimit(String server, double limit) {
      double most = 2.0 * simulation.slotsOf(server);
      limits.put(server, Math.clamp(limit, MIN_LIMIT, most));
    }

    @Override
    double cost(String server, long nowMillis) {
      return (simulation.requestsOn(server) + 1) / limitOf(server);
    }
  }

  /** The limit follows the ratio of the long-term to the short-term response time. */
  static final class Gradient extends ByLimit {
    private static final double SHORT_WEIGHT = 0.1;
    private static final double LONG_WEIGHT = 0.005;
    private static final double SMOOTHING = 0.2;
    private final Map<String, Double> shortMillis = new HashMap<>();
    private final Map<String, Double> longMillis = new HashMap<>();

    Gradient(PlainServerSimulation simulation) {
      super(simulation);
    }

    @Override
    public void ended(
        PlainServerSimulation.Request request, boolean failed, int percent, long nowMillis) {
      double millis = nowMillis - request.startedAtMillis;
      double latest = average(shortMillis, request.server, millis, SHORT_WEIGHT);
      double usual = average(longMillis, request.server, millis, LONG_WEIGHT);
      double limit = limitOf(request.server);
      double gradient = Math.clamp(usual / Math.max(1, latest), 0.5, 1);
      double next = limit * gradient + Math.sqrt(limit);
      setLimit(request.server, limit + SMOOTHING * (next - limit));
    }
  }

  /** The limit grows by one in the time of its requests, and falls by a tenth with each failure. */
  static final class AdditiveIncrease extends ByLimit {
    private static final double DECREASE = 0.9;

    AdditiveIncrease(PlainServerSimulation simulation) {
      super(simulation);
    }

    @Override
    public void ended(
        PlainServerSimulation.Request request, boolean failed, int percent, long nowMillis) {
      double limit = limitOf(request.server);
      setLimit(request.server, failed ? limit * DECREASE : limit + 1 / limit);
    }
  }

  /** Learns the response time for each number of requests by itself. */
  static final class RatePerConcurrency extends CapacityPolicies.ByCost {
    private static final double WEIGHT = 0.1;
    private final Map<String, Double> millis = new HashMap<>();
    private final Map<Long, Integer> requestsAtStart = new HashMap<>();

    RatePerConcurrency(PlainServerSimulation simulation) {
      super(simulation);
    }

    @Override
    double cost(String server, long nowMillis) {
      int requests = simulation.requestsOn(server) + 1;
      for (int known = requests; known >= 1; known--) {
        Double learnt = millis.get(server + " " + known);
        if (learnt != null) {
          return learnt * (1 + 1e-6 * requests);
        }
      }
      return 0;
    }

    @Override
    public void submit(PlainServerSimulation.Request request, long nowMillis) {
      super.submit(request, nowMillis);
      requestsAtStart.put(request.id, simulation.requestsOn(request.server) + 1);
    }

    @Override
    public void ended(
        PlainServerSimulation.Request request, boolean failed, int percent, long nowMillis) {
      Integer requests = requestsAtStart.remove(request.id);
      double elapsed = nowMillis - request.startedAtMillis;
      average(millis, request.server + " " + requests, elapsed, WEIGHT);
    }
  }

  private static double average(
      Map<String, Double> averages, String key, double latest, double weight) {
    return averages.merge(key, latest, (average, value) -> average + weight * (value - average));
  }
}
