package org.curranthaven.internal.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Average figures of a service's backend servers: what is assumed of a server of which nothing is
 * known, and what its requests of each route usually take. Not thread-safe.
 */
final class ServiceCapacity {
  /** Time for a unit of work until one has been observed. */
  private static final double START_MILLIS = 30;

  /** Time per prompt token until one has been observed. */
  private static final double START_PROMPT_MILLIS = 0.16;

  /**
   * Time without samples in which the figures of a plain backend server move most of the way to the
   * average, so that it is tried again: a request to it takes little time.
   */
  private static final double PLAIN_RETENTION_MILLIS = 2_500;

  /** Same time for an engine, on which a try costs a stream that is late. */
  private static final double ENGINE_RETENTION_MILLIS = 60_000;

  private static final int RETAINED_SAMPLES = 300;
  private static final double LATEST_PROMPT_WEIGHT = 0.02;
  private static final double LATEST_FAILURE_WEIGHT = 0.01;
  private static final double LATEST_SLOWNESS_WEIGHT = 0.01;
  private static final double LATEST_ROUTE_WEIGHT = 0.02;
  private static final long REFIT_MILLIS = 100;

  private final LoadCurveSamples samples =
      new LoadCurveSamples(RETAINED_SAMPLES, this::retentionMillis);
  private final LearntAverage promptMillis =
      new LearntAverage(START_PROMPT_MILLIS, LATEST_PROMPT_WEIGHT);
  private final Map<String, LearntAverage> millisByRoute = new HashMap<>();
  private @Nullable LearntAverage millisOfAllRoutes;
  private final LearntAverage slowness = new LearntAverage(1, LATEST_SLOWNESS_WEIGHT);
  private double failureShare;
  private boolean active;
  private boolean hasPrompts;
  private LoadCurve curve = LoadCurve.ofSlots(START_MILLIS, 1);

  /** Slots that the curve was fitted for; 0 if it was not. */
  private int fittedSlots;

  private long fittedAtMillis;

  /** Returns whether a backend server of the service has stated how slow its machine is. */
  boolean isActive() {
    return active;
  }

  /** Records how slow a machine is; from then on the service is placed by capacity. */
  void recordSlowness(double factor) {
    active = true;
    slowness.record(factor);
  }

  /** Records that another host places the service by capacity. */
  void activate() {
    active = true;
  }

  /** Returns the factor by which work takes longer than usual on average. */
  double averageSlowness() {
    return slowness.value();
  }

  void recordWork(int requests, double millis, int slots, long nowMillis) {
    samples.record(requests, millis, curve(slots, nowMillis), nowMillis);
  }

  void recordPrompt(double millisPerToken) {
    hasPrompts = true;
    promptMillis.record(millisPerToken);
  }

  void recordOutcome(double failure) {
    failureShare += LATEST_FAILURE_WEIGHT * (failure - failureShare);
  }

  /**
   * Returns by what factor the requests of a route take longer than the service's on average, and
   * learns it from a request.
   *
   * @param averageServerMillis time that the request would have taken on an average server
   */
  double learnRouteFactor(String route, double averageServerMillis) {
    LearntAverage ofAll = millisOfAllRoutes;
    if (ofAll == null) {
      ofAll = new LearntAverage(averageServerMillis, LATEST_ROUTE_WEIGHT);
      millisOfAllRoutes = ofAll;
    }
    ofAll.record(averageServerMillis);
    LearntAverage ofRoute =
        millisByRoute.computeIfAbsent(
            route, name -> new LearntAverage(averageServerMillis, LATEST_ROUTE_WEIGHT));
    ofRoute.record(averageServerMillis);
    return ofRoute.value() / ofAll.value();
  }

  LoadCurve curve(int slots, long nowMillis) {
    if (slots != fittedSlots || nowMillis - fittedAtMillis >= REFIT_MILLIS) {
      curve = samples.fit(LoadCurve.ofSlots(START_MILLIS, slots), slots, nowMillis);
      fittedSlots = slots;
      fittedAtMillis = nowMillis;
    }
    return curve;
  }

  /** Returns the time without samples in which figures move most of the way to the average. */
  double retentionMillis() {
    return hasPrompts ? ENGINE_RETENTION_MILLIS : PLAIN_RETENTION_MILLIS;
  }

  double promptMillis() {
    return promptMillis.value();
  }

  double failureShare() {
    return failureShare;
  }
}
