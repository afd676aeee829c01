package org.curranthaven.internal.cli;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.curranthaven.internal.dispatch.Mechanism;
import org.curranthaven.internal.emulator.Cause;
import org.curranthaven.internal.emulator.Deployment;
import org.curranthaven.internal.emulator.DispatchExperiment;
import org.curranthaven.internal.emulator.DispatchExperiment.Comparison;
import org.curranthaven.internal.emulator.Figures;
import org.curranthaven.internal.emulator.PolicyVariant;
import org.curranthaven.internal.settings.Json;

/** {@code experiment dispatch}: plays emulated days with the dispatch core that serves. */
final class ExperimentDispatchCommand implements Command {
  @Override
  public void register(Subparsers parsers) {
    Subparser parser =
        parsers
            .addParser("dispatch")
            .help("play emulated days with the dispatch core that serves")
            .description(
                "Emulates a deployment in simulated time; the same seed gives the same arrivals"
                    + " to every policy. Differences are paired, with a 95% interval.");
    DeploymentArguments.addTo(parser);
    parser.addArgument("--day").setDefault("").help("play only this day; default: all");
    parser
        .addArgument("--without")
        .metavar("MECHANISM")
        .nargs("*")
        .setDefault(List.of())
        .help("also play without each of these mechanisms, or 'all' for each one in turn");
    parser
        .addArgument("--against")
        .metavar("POLICY")
        .nargs("*")
        .setDefault(List.of())
        .help("also play with these policies: least-outstanding, first-come, oracle");
    parser
        .addArgument("--json")
        .action(Arguments.storeTrue())
        .setDefault(false)
        .help("also print the result as one line of JSON at the end");
    parser.setDefault(Main.COMMAND, this);
  }

  @Override
  public int run(Namespace arguments) {
    return DeploymentArguments.runWithDeployment(
        arguments, deployment -> play(deployment, arguments));
  }

  private static int play(Deployment deployment, Namespace arguments) {
    String dayName = arguments.getString("day");
    List<Deployment.Day> days =
        dayName.isEmpty() ? deployment.days() : List.of(deployment.day(dayName));
    List<PolicyVariant> variants = variants(arguments);
    int seeds = arguments.getInt("seeds");
    RunProgress progress = new RunProgress(days.size() * variants.size() * seeds);
    List<Comparison> comparisons =
        DispatchExperiment.compare(deployment, days, variants, seeds, progress::runEnded);
    print(deployment, comparisons);
    if (arguments.getBoolean("json")) {
      System.out.println(Json.text(Map.of("comparisons", jsonOf(comparisons))));
    }
    return 0;
  }

  private static List<PolicyVariant> variants(Namespace arguments) {
    List<PolicyVariant> variants = new ArrayList<>(List.of(PolicyVariant.serving()));
    for (String name : arguments.<String>getList("without")) {
      if (name.equals("all")) {
        List.of(Mechanism.values())
            .forEach(mechanism -> variants.add(PolicyVariant.without(mechanism)));
      } else {
        variants.add(PolicyVariant.without(mechanism(name)));
      }
    }
    for (String name : arguments.<String>getList("against")) {
      variants.add(PolicyVariant.baseline(name));
    }
    return variants;
  }

  private static Mechanism mechanism(String name) {
    List<String> known = new ArrayList<>();
    for (Mechanism mechanism : Mechanism.values()) {
      String knownName = mechanism.name().toLowerCase(Locale.ROOT).replace('_', '-');
      if (knownName.equals(name)) {
        return mechanism;
      }
      known.add(knownName);
    }
    throw new IllegalArgumentException("unknown mechanism '" + name + "'; known: " + known);
  }

  private static void print(Deployment deployment, List<Comparison> comparisons) {
    String day = "";
    for (Comparison comparison : comparisons) {
      if (!comparison.day().equals(day)) {
        day = comparison.day();
        System.out.printf(
            "%n%-24s %16s %18s %10s %11s%n",
            deployment.name() + ", " + day, "worth", "difference", "worst kind", "preemptions");
      }
      System.out.printf(
          "  %-22s %7.3f +- %5.3f %+9.3f +- %5.3f %10.3f %11.1f%n",
          comparison.policy(),
          comparison.worth().mean(),
          comparison.worth().halfWidth(),
          comparison.difference().mean(),
          comparison.difference().halfWidth(),
          comparison.mean(Figures::worstKind),
          comparison.mean(Figures::preemptions));
      for (Deployment.RequestKind kind : deployment.kinds()) {
        System.out.printf("    %-20s %s%n", kind.name(), causesOf(comparison, kind.name()));
      }
    }
  }

  /** Returns the share of a kind's worth that was earned, and those lost to each cause. */
  private static String causesOf(Comparison comparison, String kind) {
    StringBuilder text =
        new StringBuilder(
            "%.3f"
                .formatted(
                    comparison.mean(figures -> figures.worthByKind().getOrDefault(kind, 1.0))));
    for (Cause cause : Cause.values()) {
      double lost = comparison.mean(figures -> figures.lostShares(kind).getOrDefault(cause, 0.0));
      if (lost >= 0.0005) {
        text.append("  ")
            .append(cause.name().toLowerCase(Locale.ROOT).replace('_', '-'))
            .append(" %.3f".formatted(lost));
      }
    }
    return text.toString();
  }

  private static List<Map<String, Object>> jsonOf(List<Comparison> comparisons) {
    List<Map<String, Object>> rows = new ArrayList<>();
    for (Comparison comparison : comparisons) {
      Map<String, Object> row = new LinkedHashMap<>();
      row.put("day", comparison.day());
      row.put("policy", comparison.policy());
      row.put("worth", comparison.worth());
      row.put("difference", comparison.difference());
      row.put("worstKind", comparison.mean(Figures::worstKind));
      row.put("worthBySeed", comparison.figures().stream().map(Figures::worth).toList());
      rows.add(row);
    }
    return rows;
  }
}
