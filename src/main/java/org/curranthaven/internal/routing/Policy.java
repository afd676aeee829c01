package org.curranthaven.internal.routing;

/**
 * Policy by which a backend server is chosen. All but {@link Forecast} are baselines for
 * experiments and dispatch a request at once whenever a backend server is eligible.
 */
public sealed interface Policy {
  /** Returns the name that identifies the policy in experiments and dispatch reasons. */
  default String policyName() {
    return switch (this) {
      case RoundRobin ignored -> "round-robin";
      case LeastOutstanding ignored -> "least-outstanding";
      case LeastLoad ignored -> "least-load";
      case PowerOfTwo ignored -> "power-of-two";
      case Forecast forecast -> forecast.options().oracle() ? "oracle" : "curranthaven";
    };
  }

  /** Chooses the backend servers one after the other. */
  record RoundRobin() implements Policy {}

  /** Chooses the backend server on which this host has the fewest open requests. */
  record LeastOutstanding() implements Policy {}

  /** Chooses the backend server that reported the least memory use, then the fewest requests. */
  record LeastLoad() implements Policy {}

  /** Chooses the less loaded of two random backend servers. */
  record PowerOfTwo() implements Policy {}

  /**
   * Chooses by forecast memory use, and queues a request whose memory growth would cause a
   * preemption. Hosts use this policy.
   */
  record Forecast(ForecastOptions options) implements Policy {}
}
