package org.curranthaven.internal.cli;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.experiment.PolicyAblations;
import org.curranthaven.internal.experiment.PolicyBounds;
import org.curranthaven.internal.experiment.RoutingExperiment;
import org.curranthaven.internal.experiment.Scenario;
import org.curranthaven.internal.routing.Policy;
import org.curranthaven.internal.settings.Json;

/** {@code experiment routing}: compares routing policies on the same simulated arrivals. */
final class ExperimentCommand implements Command {
  @Override
  public void register(Subparsers parsers) {
    Subparser parser = parsers.addParser("experiment").help("compare policies in a simulation");
    Subparsers kinds = parser.addSubparsers().metavar("KIND");
    Subparser routing =
        kinds
            .addParser("routing")
            .help("compare routing policies on the same arrivals")
            .description(
                "Simulates each policy with each scenario and seed: eight hosts choose among"
                    + " simulated engines. A shed request counts as a missed target.");
    routing
        .addArgument("--seeds")
        .type(Integer.class)
        .setDefault(5)
        .help("number of seeds, starting at 1");
    routing
        .addArgument("--scenario")
        .setDefault("")
        .help("run only scenarios whose name contains this text");
    routing
        .addArgument("--mechanisms")
        .action(Arguments.storeTrue())
        .help("compare the standard policy with variants that each lack one mechanism")
        .setDefault(false);
    routing
        .addArgument("--json")
        .action(Arguments.storeTrue())
        .help("also print the result as one line of JSON at the end");
    routing.setDefault(Main.COMMAND, this);
    new ExperimentDispatchCommand().register(kinds);
    new ExperimentRampCommand().register(kinds);
  }

  @Override
  public int run(Namespace arguments) {
    String nameFilter = arguments.getString("scenario");
    List<Scenario> scenarios =
        Scenario.all().stream().filter(scenario -> scenario.name().contains(nameFilter)).toList();
    Map<String, Policy> policies = new LinkedHashMap<>();
    if (arguments.getBoolean("mechanisms")) {
      policies.putAll(PolicyAblations.policiesByName());
    } else {
      RoutingExperiment.policies().forEach(policy -> policies.put(policy.policyName(), policy));
    }
    RoutingExperiment.Report report =
        RoutingExperiment.runAll(scenarios, policies, arguments.getInt("seeds"));
    report.byScenario().forEach(ExperimentCommand::printScenario);
    List<PolicyBounds.Verdict> verdicts = PolicyBounds.evaluate(report.acrossScenarios());
    verdicts.forEach(ExperimentCommand::printVerdict);
    if (arguments.getBoolean("json")) {
      System.out.println(Json.text(Map.of("policies", report.acrossScenarios())));
    }
    boolean allHold = verdicts.stream().allMatch(PolicyBounds.Verdict::holds);
    return allHold ? 0 : ResultCode.TARGETS_NOT_MET.exitCode();
  }

  private static void printVerdict(PolicyBounds.Verdict verdict) {
    System.out.printf(
        "%-34s %8.3f  bound %s %.2f  %s%n",
        verdict.name(),
        verdict.measured(),
        verdict.atMost() ? "at most" : "at least",
        verdict.limit(),
        verdict.holds() ? "holds" : "DOES NOT HOLD");
  }

  private static void printScenario(
      String scenario, Map<String, RoutingExperiment.Figures> byPolicy) {
    System.out.printf(
        "%n%-28s %12s %9s %8s %8s %10s %6s %9s %7s %7s  met by class%n",
        scenario,
        "stall ms",
        "preempt",
        "gap p99",
        "p99.9",
        "door p99",
        "shed",
        "tokens/s",
        "met",
        "us/evt");
    byPolicy.forEach(
        (policy, figures) ->
            System.out.printf(
                "  %-26s %12d %9d %8d %8d %10d %6d %9.0f %6.1f%% %7.1f  %s%n",
                policy,
                figures.stallMillis(),
                figures.preemptions(),
                figures.gapP99Millis(),
                figures.gapP999Millis(),
                figures.doorFirstReplyP99Millis(),
                figures.shed(),
                figures.tokensPerSecond(),
                figures.met() * 100,
                figures.decisionMicros(),
                figures.metByClass()));
  }
}
