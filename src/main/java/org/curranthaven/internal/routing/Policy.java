package org.curranthaven.internal.routing;

/** How a server is chosen. All but {@link Forecast} are baselines that never hold a request. */
public sealed interface Policy {
  /** Returns the name by which experiments and explanations call the policy. */
  default String policyName() {
    return switch (this) {
      case RoundRobin ignored -> "round-robin";
      case LeastOutstanding ignored -> "least-outstanding";
      case LeastLoad ignored -> "least-load";
      case PowerOfTwo ignored -> "power-of-two";
      case Forecast forecast -> forecast.options().oracle() ? "oracle" : "curranthaven";
    };
  }

  /** Each server in turn. */
  record RoundRobin() implements Policy {}

  /** The server on which this host has the fewest requests open. */
  record LeastOutstanding() implements Policy {}

  /** The server that reported the least memory in use, then the fewest requests. */
  record LeastLoad() implements Policy {}

  /** The less loaded of two servers drawn at random. */
  record PowerOfTwo() implements Policy {}

  /** The policy in force: holds requests whose memory growth would cause a preemption. */
  record Forecast(ForecastOptions options) implements Policy {}
}
