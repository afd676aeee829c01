package org.curranthaven.internal.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.curranthaven.internal.routing.ForecastOptions;
import org.curranthaven.internal.routing.Policy;

/** Compares routing policies over scenarios and seeds. */
public final class RoutingExperiment {
  private RoutingExperiment() {}

  /**
   * Figures of a policy over all seeds; times in milliseconds.
   *
   * @param met share of requests that met the first-reply and complete-response targets of their
   *     class; a shed request counts as a miss
   * @param decisionMicros mean time that a routing core takes to handle an event
   */
  public record Figures(
      long stallMillis,
      long preemptions,
      long gapP99Millis,
      long gapP999Millis,
      long doorFirstReplyP99Millis,
      long shed,
      double tokensPerSecond,
      double met,
      long requests,
      double decisionMicros,
      Map<String, Double> metByClass) {

    static Figures of(SimulationResult result) {
      return new Figures(
          result.stallMillis,
          result.preemptions,
          result.tokenGaps.getValueAtPercentile(99),
          result.tokenGaps.getValueAtPercentile(99.9),
          result.firstReplyP99Millis("door"),
          result.shedRequests,
          Math.round(result.tokensPerSecond()),
          result.requests == 0 ? 0 : (double) result.requestsOnTarget / result.requests,
          result.requests,
          result.handledEvents == 0 ? 0 : result.eventHandlingNanos / 1e3 / result.handledEvents,
          result.onTargetShares());
    }
  }

  /** Returns the policies to compare. */
  public static List<Policy> policies() {
    return List.of(
        new Policy.Forecast(ForecastOptions.standard()),
        new Policy.RoundRobin(),
        new Policy.LeastOutstanding(),
        new Policy.LeastLoad(),
        new Policy.PowerOfTwo(),
        new Policy.Forecast(ForecastOptions.oracleOptions()));
  }

  /**
   * Figures by scenario name, then by policy name; the scenario {@code all} combines all scenarios.
   */
  public record Report(Map<String, Map<String, Figures>> byScenario) {
    /** Returns the figures over all scenarios, by policy name. */
    public Map<String, Figures> acrossScenarios() {
      return byScenario.getOrDefault("all", Map.of());
    }
  }

  private record SimulationJob(Scenario scenario, String policyName, Policy policy, long seed) {}

  private record CompletedJob(SimulationJob job, SimulationResult result) {}

  /** Runs every policy on every scenario with the seeds 1 to {@code seedCount}. */
  public static Report runAll(
      List<Scenario> scenarios, Map<String, Policy> policies, int seedCount) {
    List<SimulationJob> jobs = new ArrayList<>();
    for (Scenario scenario : scenarios) {
      policies.forEach(
          (policyName, policy) -> {
            for (long seed = 1; seed <= seedCount; seed++) {
              jobs.add(new SimulationJob(scenario, policyName, policy, seed));
            }
          });
    }
    List<CompletedJob> completedJobs =
        jobs.parallelStream()
            .map(
                job ->
                    new CompletedJob(
                        job, PolicySimulation.run(job.scenario(), job.policy(), job.seed())))
            .toList();
    return aggregate(completedJobs);
  }

  private static Report aggregate(List<CompletedJob> completedJobs) {
    Map<String, Map<String, SimulationResult>> resultsByScenario = new LinkedHashMap<>();
    for (CompletedJob completed : completedJobs) {
      for (String scenario : List.of(completed.job().scenario().name(), "all")) {
        resultsByScenario
            .computeIfAbsent(scenario, name -> new LinkedHashMap<>())
            .computeIfAbsent(completed.job().policyName(), name -> new SimulationResult())
            .add(completed.result());
      }
    }
    Map<String, Map<String, Figures>> figuresByScenario = new LinkedHashMap<>();
    resultsByScenario.forEach(
        (scenario, byPolicy) -> {
          Map<String, Figures> figuresByPolicy = new LinkedHashMap<>();
          byPolicy.forEach((policy, result) -> figuresByPolicy.put(policy, Figures.of(result)));
          figuresByScenario.put(scenario, figuresByPolicy);
        });
    return new Report(figuresByScenario);
  }
}
