package org.curranthaven.internal.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.curranthaven.internal.routing.ForecastOptions;
import org.curranthaven.internal.routing.Policy;

/** Compares policies over scenarios and seeds. */
public final class RoutingExperiment {
  private RoutingExperiment() {}

  /**
   * Figures of a policy, over all seeds; times in milliseconds.
   *
   * @param met share of requests answered within their class's first-reply and answer targets; a
   *     shed request is a missed one
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

    static Figures of(RunResult result) {
      return new Figures(
          result.stallMillis,
          result.preemptions,
          result.gaps.getValueAtPercentile(99),
          result.gaps.getValueAtPercentile(99.9),
          result.firstReplyP99Millis("door"),
          result.shed,
          Math.round(result.tokensPerSecond()),
          result.requests == 0 ? 0 : (double) result.met / result.requests,
          result.requests,
          result.decisions == 0 ? 0 : result.decisionNanos / 1e3 / result.decisions,
          result.metShares());
    }
  }

  /** Returns the policies that are compared. */
  public static List<Policy> policies() {
    return List.of(
        new Policy.Forecast(ForecastOptions.standard()),
        new Policy.RoundRobin(),
        new Policy.LeastOutstanding(),
        new Policy.LeastLoad(),
        new Policy.PowerOfTwo(),
        new Policy.Forecast(ForecastOptions.oracleOptions()));
  }

  /** Figures by scenario name, then by policy name; the scenario {@code all} has them together. */
  public record Report(Map<String, Map<String, Figures>> byScenario) {
    /** Returns the figures of all scenarios together, by policy name. */
    public Map<String, Figures> all() {
      return byScenario.getOrDefault("all", Map.of());
    }
  }

  private record Job(Scenario scenario, String label, Policy policy, long seed) {}

  private record Done(Job job, RunResult result) {}

  /** Runs every policy on every scenario with seeds from 1. */
  public static Report run(List<Scenario> scenarios, Map<String, Policy> policies, int seeds) {
    List<Job> jobs = new ArrayList<>();
    for (Scenario scenario : scenarios) {
      policies.forEach(
          (label, policy) -> {
            for (long seed = 1; seed <= seeds; seed++) {
              jobs.add(new Job(scenario, label, policy, seed));
            }
          });
    }
    List<Done> done =
        jobs.parallelStream()
            .map(job -> new Done(job, PolicyRun.run(job.scenario(), job.policy(), job.seed())))
            .toList();
    return report(done);
  }

  private static Report report(List<Done> done) {
    Map<String, Map<String, RunResult>> sums = new LinkedHashMap<>();
    for (Done run : done) {
      for (String scenario : List.of(run.job().scenario().name(), "all")) {
        sums.computeIfAbsent(scenario, name -> new LinkedHashMap<>())
            .computeIfAbsent(run.job().label(), name -> new RunResult())
            .add(run.result());
      }
    }
    Map<String, Map<String, Figures>> figures = new LinkedHashMap<>();
    sums.forEach(
        (scenario, byPolicy) -> {
          Map<String, Figures> row = new LinkedHashMap<>();
          byPolicy.forEach((policy, result) -> row.put(policy, Figures.of(result)));
          figures.put(scenario, row);
        });
    return new Report(figures);
  }
}
