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

/** {@code demo}: runs a complete fleet under load in one process and injects faults. */
final class DemoCommand implements Command {
  private static final int DEFAULT_SECONDS = 20;

  @Override
  public void register(Subparsers parsers) {
    Subparser parser =
        parsers
            .addParser("demo")
            .help("run a complete fleet under load, inject faults and count broken promises")
            .description(
                "Starts five hosts in three data centres with stand-in engines and services, sends"
                    + " requests, injects faults, and counts broken promises as callers and backend"
                    + " servers see them. Exits with 0 only if no promise was broken and every"
                    + " request finished.");
    parser
        .addArgument("--seconds")
        .type(Integer.class)
        .setDefault(DEFAULT_SECONDS)
        .help("duration of the load in seconds");
    parser
        .addArgument("--rate")
        .type(Double.class)
        .setDefault(25.0)
        .help("mean requests per second");
    parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of the random load");
    parser
        .addArgument("--json")
        .action(Arguments.storeTrue())
        .help("print the result as one line of JSON, and progress to standard error");
    parser
        .addArgument("--hold")
        .action(Arguments.storeTrue())
        .help("keep the fleet running afterwards, and print example requests");
    parser.setDefault(Main.COMMAND, this);
  }

  @Override
  public int run(Namespace arguments) throws IOException, InterruptedException {
    Logging.configureErrorsOnly();
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
      Map<String, Object> result = new LinkedHashMap<>();
      result.put("classes", report.classes());
      result.put("promises", report.promises());
      result.put("preemptions", report.preemptions());
      System.out.println(Json.text(result));
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
      System.out.println(
          report.unfinished()
              + " requests did not finish within "
              + DemoRun.COMPLETION_TIMEOUT_MILLIS
              + " ms after the last was sent");
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
    System.out.println("broken promises, as counted by callers and backend servers:");
    System.out.printf(
        "  tokens lost %d, repeated %d, out of order %d; generations spliced %d; responses of other"
            + " requests %d;%n  requests that ran twice %d, that ran although reported as \"not"
            + " run\" %d; cut off by a planned stop %d%n",
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
