package org.curranthaven.internal.cli;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.settings.Json;
import org.curranthaven.internal.standin.ClassStatistics;
import org.curranthaven.internal.standin.GuaranteeViolations;

/** {@code demo}: a whole fleet under load and faults in one process. */
final class DemoCommand implements Command {
  private static final int DEFAULT_SECONDS = 20;

  @Override
  public void register(Subparsers parsers) {
    Subparser parser =
        parsers
            .addParser("demo")
            .help("run a whole fleet under load and faults, and count broken promises")
            .description(
                "Starts five hosts in three data centres with stand-in engines and services, loads"
                    + " them, brings about faults, and counts broken promises from outside. Exits"
                    + " with 0 only if there were none.");
    parser
        .addArgument("--seconds")
        .type(Integer.class)
        .setDefault(DEFAULT_SECONDS)
        .help("how long to send requests");
    parser.addArgument("--rate").type(Double.class).setDefault(25.0).help("requests a second");
    parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of the load");
    parser.addArgument("--json").action(Arguments.storeTrue()).help("print one JSON line last");
    parser
        .addArgument("--hold")
        .action(Arguments.storeTrue())
        .help("keep running afterwards, and print addresses to try");
    parser.setDefault(Main.COMMAND, this);
  }

  @Override
  public int run(Namespace arguments) throws IOException, InterruptedException {
    Logging.quiet();
    boolean json = arguments.getBoolean("json");
    DemoRun.Options options =
        new DemoRun.Options(
            arguments.getInt("seconds"),
            arguments.getDouble("rate"),
            arguments.getLong("seed"),
            arguments.getBoolean("hold"));
    DemoRun.Report report =
        new DemoRun(options, line -> (json ? System.err : System.out).println(line)).run();
    if (json) {
      Map<String, Object> object = new LinkedHashMap<>();
      object.put("classes", report.classes());
      object.put("promises", report.promises());
      object.put("preemptions", report.preemptions());
      System.out.println(Json.text(object));
    } else {
      print(report);
    }
    return report.promises().noViolations() && report.unfinished() == 0
        ? 0
        : ResultCode.PROMISE_BROKEN.exitCode();
  }

  private static void print(DemoRun.Report report) {
    printClasses(report.classes());
    System.out.printf("%npreemptions on all engines: %d%n", report.preemptions());
    printPromises(report.promises());
    if (report.unfinished() > 0) {
      System.out.println(report.unfinished() + " requests never ended");
    }
  }

  static void printClasses(Map<String, ClassStatistics.Summary> classes) {
    System.out.println();
    System.out.printf(
        "%-9s %6s %6s %8s %18s %18s %9s  %s%n",
        "class",
        "sent",
        "whole",
        "on time",
        "first p50/p99/aim",
        "gap p99/p99.9/aim",
        "stall ms",
        "ended otherwise (code=count)");
    classes.forEach(DemoCommand::printClass);
  }

  private static void printClass(String name, ClassStatistics.Summary summary) {
    System.out.printf(
        "%-9s %6d %6d %8d %18s %18s %9d  %s%n",
        name,
        summary.sent(),
        summary.completed(),
        summary.onTime(),
        summary.firstReplyP50Millis()
            + "/"
            + summary.firstReplyP99Millis()
            + "/"
            + summary.firstReplyTargetMillis(),
        summary.gapP99Millis() + "/" + summary.gapP999Millis() + "/" + summary.gapTargetMillis(),
        summary.stallMillis(),
        summary.failures().isEmpty() ? "" : summary.failures());
  }

  static void printPromises(GuaranteeViolations.Counts counts) {
    System.out.println("promises broken, counted by callers and backend servers:");
    System.out.printf(
        "  tokens lost %d, repeated %d, out of order %d; generations spliced %d; answers crossed"
            + " %d;%n  double runs %d; \"not run\" that ran %d; cut off by a planned stop %d%n",
        counts.tokensLost(),
        counts.tokensRepeated(),
        counts.tokensOutOfOrder(),
        counts.generationsSpliced(),
        counts.answersCrossed(),
        counts.doubleRuns(),
        counts.falseNotRun(),
        counts.cutOffByPlannedStop());
  }
}
