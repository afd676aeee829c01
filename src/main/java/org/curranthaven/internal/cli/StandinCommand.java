package org.curranthaven.internal.cli;

import java.io.IOException;
import java.util.List;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.curranthaven.internal.membership.BackendAnnouncement;
import org.curranthaven.internal.standin.EngineOptions;
import org.curranthaven.internal.standin.RunLog;
import org.curranthaven.internal.standin.StandinEngine;
import org.curranthaven.internal.standin.StandinOptions;
import org.curranthaven.internal.standin.StandinService;

/**
 * {@code standin engine} and {@code standin service}: runs a backend server for trials and tests.
 */
final class StandinCommand implements Command {
  private static final int DEFAULT_BLOCKS = 2_000;

  @Override
  public void register(Subparsers parsers) {
    Subparser parser =
        parsers.addParser("standin").help("run a stand-in backend server for trials and tests");
    Subparsers kinds = parser.addSubparsers().metavar("KIND");
    Subparser engine = kinds.addParser("engine").help("run a stand-in model engine");
    addCommonArguments(engine, "engine");
    engine.addArgument("--model").required(true).help("model that it serves");
    engine
        .addArgument("--blocks")
        .type(Integer.class)
        .setDefault(DEFAULT_BLOCKS)
        .help("memory blocks of 16 tokens");
    engine
        .addArgument("--ignores-fencing")
        .action(Arguments.storeTrue())
        .help("accept orders with outdated fencing numbers");
    Subparser service = kinds.addParser("service").help("run a stand-in plain service");
    addCommonArguments(service, "service");
    service.addArgument("--service").dest("model").required(true).help("service that it provides");
  }

  private void addCommonArguments(Subparser parser, String kind) {
    parser.addArgument("--name").required(true).help("name of the backend server");
    parser.addArgument("--data-centre").setDefault("a").help("data centre that it belongs to");
    parser
        .addArgument("--port")
        .type(Integer.class)
        .setDefault(0)
        .help("port to listen on; 0 for any free port");
    parser
        .addArgument("--hosts")
        .nargs("+")
        .required(true)
        .help("HTTP addresses of hosts to register with");
    parser.setDefault(Main.COMMAND, this).setDefault("kind", kind);
  }

  @Override
  public int run(Namespace arguments) throws IOException, InterruptedException {
    boolean engine = arguments.getString("kind").equals("engine");
    int blocks = engine ? arguments.getInt("blocks") : DEFAULT_BLOCKS;
    List<String> hosts = arguments.getList("hosts");
    StandinOptions options =
        new StandinOptions(
            arguments.getString("name"),
            arguments.getString("data_centre"),
            arguments.getInt("port"),
            hosts,
            arguments.getString("model"),
            EngineOptions.standard().withBlocks(blocks),
            BackendAnnouncement.Resume.TAKEOVER,
            engine && !arguments.getBoolean("ignores_fencing"));
    if (engine) {
      try (StandinEngine standin = StandinEngine.start(options, new RunLog())) {
        System.out.println(standin.name() + " serves at " + standin.address());
        Thread.sleep(Long.MAX_VALUE);
      }
    } else {
      try (StandinService standin = StandinService.start(options, new RunLog())) {
        System.out.println(options.name() + " serves at " + standin.address());
        Thread.sleep(Long.MAX_VALUE);
      }
    }
    return 0;
  }
}
