package org.curranthaven.internal.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.curranthaven.internal.emulator.Deployment.Day;

/** Compares policies on emulated days; all get the same arrivals. */
public final class DispatchExperiment {
  /** Two-sided 97.5% quantiles of Student's t distribution, by degrees of freedom from 1. */
  private static final double[] T_QUANTILES = {
    12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13
  };

  /** Quantile for more degrees of freedom than {@link #T_QUANTILES} has. */
  private static final double NORMAL_QUANTILE = 1.96;

  private DispatchExperiment() {}

  /**
   * A mean with half the width of its 95% confidence interval.
   *
   * @param halfWidth 0 for a single value
   */
  public record Estimate(double mean, double halfWidth) {
    static Estimate of(List<Double> values) {
      double mean = values.stream().mapToDouble(Double::doubleValue).average().orElse(0);
      int count = values.size();
      if (count < 2) {
        return new Estimate(mean, 0);
      }
      double variance =
          values.stream().mapToDouble(value -> (value - mean) * (value - mean)).sum() / (count - 1);
      double quantile = count - 2 < T_QUANTILES.length ? T_QUANTILES[count - 2] : NORMAL_QUANTILE;
      return new Estimate(mean, quantile * Math.sqrt(variance / count));
    }
  }

  /**
   * Results of one policy on one day.
   *
   * @param figures one entry for each seed
   * @param difference paired difference of the worth to the first policy's
   */
  public record Comparison(
      String day, String policy, List<Figures> figures, Estimate worth, Estimate difference) {
    /** Returns the mean of a figure over the seeds. */
    public double mean(ToDoubleFunction<Figures> figure) {
      return figures.stream().mapToDouble(figure).average().orElse(0);
    }
  }

  private record Run(Day day, PolicyVariant variant, long seed) {}

  private record RunResult(Run run, Figures figures) {}

  /**
   * Plays every day with every policy and the seeds 1 to {@code seeds}, on all cores.
   *
   * @param onRunEnded called after each run, possibly on several threads at once
   */
  public static List<Comparison> compare(
      Deployment deployment,
      List<Day> days,
      List<PolicyVariant> variants,
      int seeds,
      Runnable onRunEnded) {
    List<Run> runs = new ArrayList<>();
    for (Day day : days) {
      for (PolicyVariant variant : variants) {
        for (long seed = 1; seed <= seeds; seed++) {
          runs.add(new Run(day, variant, seed));
        }
      }
    }
    Map<Run, Figures> figuresByRun = new LinkedHashMap<>();
    runs.parallelStream()
        .map(run -> play(deployment, run, onRunEnded))
        .toList()
        .forEach(result -> figuresByRun.put(result.run(), result.figures()));
    List<Comparison> comparisons = new ArrayList<>();
    for (Day day : days) {
      List<Double> reference = worthOf(figuresOf(figuresByRun, day, variants.getFirst(), seeds));
      for (PolicyVariant variant : variants) {
        List<Figures> figures = figuresOf(figuresByRun, day, variant, seeds);
        comparisons.add(comparison(day, variant, figures, reference));
      }
    }
    return comparisons;
  }

  private static RunResult play(Deployment deployment, Run run, Runnable onRunEnded) {
    Figures figures = DispatchSimulation.run(deployment, run.day(), run.variant(), run.seed());
    onRunEnded.run();
    return new RunResult(run, figures);
  }

  private static List<Figures> figuresOf(
      Map<Run, Figures> figuresByRun, Day day, PolicyVariant variant, int seeds) {
    List<Figures> figures = new ArrayList<>();
    for (long seed = 1; seed <= seeds; seed++) {
      figures.add(figuresByRun.getOrDefault(new Run(day, variant, seed), new Figures()));
    }
    return figures;
  }

  private static List<Double> worthOf(List<Figures> figures) {
    return figures.stream().map(Figures::worth).toList();
  }

  private static Comparison comparison(
      Day day, PolicyVariant variant, List<Figures> figures, List<Double> reference) {
    List<Double> worth = worthOf(figures);
    List<Double> differences = new ArrayList<>();
    for (int i = 0; i < worth.size(); i++) {
      differences.add(worth.get(i) - reference.get(i));
    }
    return new Comparison(
        day.name(), variant.label(), figures, Estimate.of(worth), Estimate.of(differences));
  }
}
