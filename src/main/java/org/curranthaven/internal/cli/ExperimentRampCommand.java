package org.curranthaven.internal.cli;

import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.emulator.Deployment;
import org.curranthaven.internal.emulator.DispatchExperiment;
import org.curranthaven.internal.emulator.DispatchExperiment.Comparison;
import org.curranthaven.internal.emulator.Figures;
import org.curranthaven.internal.emulator.PolicyVariant;

/**
 * {@code experiment ramp}: plays an emulated day at growing load; the worth that is served must not
 * fall once the engines are full.
 */
final class ExperimentRampCommand implements Command {
  /** Share of the highest worth served that must be served at every higher load. */
  private static final double MIN_SHARE_OF_HIGHEST = 0.95;

  private static final List<Double> LOAD_FACTORS = List.of(0.5, 1.0, 1.5, 2.0, 2.5, 3.0);

  @Override
  public void register(Subparsers parsers) {
    Subparser parser =
        parsers
            .addParser("ramp")
            .help("play an emulated day at growing load")
            .description(
                "Plays a day at 0.5 to 3 times its load. Exits with 2 if the worth served falls"
                    + " below 0.95 of its highest at a higher load.");
    DeploymentArguments.addTo(parser);
    parser.addArgument("--day").required(true).help("day to play");
    parser.setDefault(Main.COMMAND, this);
  }

  @Override
  public int run(Namespace arguments) {
    return DeploymentArguments.runWithDeployment(
        arguments, deployment -> play(deployment, arguments));
  }

  private static int play(Deployment deployment, Namespace arguments) {
    Deployment.Day day = deployment.day(arguments.getString("day"));
    List<Deployment.Day> days = new ArrayList<>();
    for (double factor : LOAD_FACTORS) {
      days.add(
          new Deployment.Day(
              "load " + factor, day.seconds(), day.loadFactor() * factor, day.faults()));
    }
    int seeds = arguments.getInt("seeds");
    RunProgress progress = new RunProgress(days.size() * seeds);
    List<Comparison> comparisons =
        DispatchExperiment.compare(
            deployment, days, List.of(PolicyVariant.serving()), seeds, progress::runEnded);
    return print(comparisons) ? 0 : ResultCode.TARGETS_NOT_MET.exitCode();
  }

  /** Prints the worth served at each load; returns whether it never falls below the bound. */
  private static boolean print(List<Comparison> comparisons) {
    double highest = 0;
    boolean holds = true;
    System.out.printf("%-12s %10s %14s %11s%n", "load", "worth", "worth served", "of highest");
    for (Comparison comparison : comparisons) {
      double served = comparison.mean(Figures::earned);
      highest = Math.max(highest, served);
      holds &= served >= MIN_SHARE_OF_HIGHEST * highest;
      System.out.printf(
          "%-12s %10.3f %14.0f %11.3f%n",
          comparison.day(), comparison.worth().mean(), served, served / highest);
    }
    System.out.println(holds ? "holds" : "DOES NOT HOLD");
    return holds;
  }
}
