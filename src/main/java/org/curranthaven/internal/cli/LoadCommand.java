package org.curranthaven.internal.cli;

import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.settings.Json;
import org.curranthaven.internal.standin.Balancer;
import org.curranthaven.internal.standin.LoadGenerator;
import org.curranthaven.internal.standin.RunLog;
import org.curranthaven.internal.standin.Workloads;

/** {@code load}: asks hosts as callers do, in both users' shapes, and checks every answer. */
final class LoadCommand implements Command {
  private static final long COMPLETION_TIMEOUT_MILLIS = 120_000;
  private static final long BALANCER_STARTUP_DELAY_MILLIS = 500;
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
                  .submitChange(AdminOptions.operatorName(), Workloads.configuration()),
              false);
      if (exit != 0) {
        return exit;
      }
    }
    try (Balancer balancer = new Balancer(hosts);
        LoadGenerator load =
            new LoadGenerator(Workloads.kinds(), Workloads.classes(), balancer, new RunLog())) {
      Thread.sleep(BALANCER_STARTUP_DELAY_MILLIS);
      load.run(
          (long) arguments.getInt("seconds") * MILLIS_PER_SECOND,
          arguments.getDouble("rate"),
          arguments.getLong("seed"));
      int unfinished = load.awaitEnd(COMPLETION_TIMEOUT_MILLIS);
      if (arguments.getBoolean("json")) {
        System.out.println(
            Json.text(Map.of("classes", load.classes(), "promises", load.promises())));
      } else {
        DemoCommand.printClasses(load.classes());
        DemoCommand.printPromises(load.promises());
      }
      return load.promises().allKept() && unfinished == 0
          ? 0
          : ResultCode.PROMISE_BROKEN.exitCode();
    }
  }
}
