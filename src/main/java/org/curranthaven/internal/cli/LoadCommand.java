package org.curranthaven.internal.cli;

import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.settings.Json;
import org.curranthaven.internal.standin.LoadBalancer;
import org.curranthaven.internal.standin.LoadGenerator;
import org.curranthaven.internal.standin.RunLog;
import org.curranthaven.internal.standin.Workloads;

/** {@code load}: sends a mixed load of requests to hosts and checks every response. */
final class LoadCommand implements Command {
  private static final long COMPLETION_TIMEOUT_MILLIS = 120_000;
  private static final long BALANCER_STARTUP_DELAY_MILLIS = 500;
  private static final int MILLIS_PER_SECOND = 1_000;

  @Override
  public void register(Subparsers parsers) {
    Subparser parser =
        parsers
            .addParser("load")
            .help("send a mixed load of requests to hosts and check every response")
            .description(
                "Sends requests through the hosts to stand-in backend servers and checks every"
                    + " token. Requests that ran twice, or ran although reported as not run, are"
                    + " counted by 'demo' only, which also observes the stand-ins. Needs the"
                    + " configuration that 'load --configure' creates.");
    parser.addArgument("--hosts").nargs("+").required(true).help("HTTP addresses of hosts");
    parser
        .addArgument("--seconds")
        .type(Integer.class)
        .setDefault(20)
        .help("duration of the load in seconds");
    parser
        .addArgument("--rate")
        .type(Double.class)
        .setDefault(20.0)
        .help("mean requests per second");
    parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of the random load");
    parser
        .addArgument("--configure")
        .action(Arguments.storeTrue())
        .help("first configure the classes, models, services and workspace of the load");
    parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
    parser.setDefault(Main.COMMAND, this);
  }

  @Override
  public int run(Namespace arguments) throws Exception {
    List<String> hosts = arguments.getList("hosts");
    if (arguments.getBoolean("configure")) {
      int exitCode =
          ChangeReporter.report(
              new AdminClient(hosts.getFirst())
                  .submitChange(AdminOptions.operatorName(), Workloads.configurationEdits()),
              false);
      if (exitCode != 0) {
        return exitCode;
      }
    }
    try (LoadBalancer balancer = new LoadBalancer(hosts);
        LoadGenerator load =
            new LoadGenerator(
                Workloads.requestKinds(), Workloads.serviceClasses(), balancer, new RunLog())) {
      Thread.sleep(BALANCER_STARTUP_DELAY_MILLIS);
      load.sendRequests(
          (long) arguments.getInt("seconds") * MILLIS_PER_SECOND,
          arguments.getDouble("rate"),
          arguments.getLong("seed"));
      int unfinished = load.awaitCompletion(COMPLETION_TIMEOUT_MILLIS);
      if (arguments.getBoolean("json")) {
        System.out.println(
            Json.text(Map.of("classes", load.classes(), "promises", load.violations())));
      } else {
        DemoCommand.printClasses(load.classes());
        DemoCommand.printPromises(load.violations());
      }
      return load.violations().noViolations() && unfinished == 0
          ? 0
          : ResultCode.PROMISE_BROKEN.exitCode();
    }
  }
}
