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

/** {@code load}: asks hosts as callers do, in both users' shapes, and checks every answer. */
final class LoadCommand implements Command {
  private static final long END_MILLIS = 120_000;
  private static final long BALANCER_MILLIS = 500;
  private static final int MILLIS_PER_SECOND = 1_000;

  @Override
  public void register(Subparsers parsers) {
    Subparser parser =
        parsers
            .addParser("load")
            .help("load hosts in both users' shapes, and check every answer")
            .description(
                "Sends requests to stand-ins through the hosts and checks every token. What ran"
                    + " twice or ran after 'not run' is counted by 'demo' only, which also sees the"
                    + " stand-ins. Needs the configuration that 'load --configure' makes.");
    parser.addArgument("--hosts").nargs("+").required(true).help("HTTP addresses of hosts");
    parser.addArgument("--seconds").type(Integer.class).setDefault(20).help("how long to send");
    parser.addArgument("--rate").type(Double.class).setDefault(20.0).help("requests a second");
    parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of the load");
    parser
        .addArgument("--configure")
        .action(Arguments.storeTrue())
        .help("first configure the load's classes, models, services and workspace");
    parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
    parser.setDefault(Main.COMMAND, this);
  }

  @Override
  public int run(Namespace arguments) throws Exception {
    List<String> hosts = arguments.getList("hosts");
    if (arguments.getBoolean("configure")) {
      int exit =
          ChangeReporter.report(
              new AdminClient(hosts.getFirst())
                  .change(HostOption.operator(), Workloads.configurationEdits()),
              false);
      if (exit != 0) {
        return exit;
      }
    }
    try (LoadBalancer balancer = new LoadBalancer(hosts);
        LoadGenerator load =
            new LoadGenerator(
                Workloads.requestKinds(), Workloads.serviceClasses(), balancer, new RunLog())) {
      Thread.sleep(BALANCER_MILLIS);
      load.sendRequests(
          (long) arguments.getInt("seconds") * MILLIS_PER_SECOND,
          arguments.getDouble("rate"),
          arguments.getLong("seed"));
      int unfinished = load.awaitCompletion(END_MILLIS);
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
