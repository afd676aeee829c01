package org.curranthaven.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.curranthaven.api.Outcome;
import org.curranthaven.internal.bench.ClaimsBench;
import org.curranthaven.internal.bench.CrashesBench;
import org.curranthaven.internal.bench.OverheadBench;
import org.curranthaven.internal.bench.RestartBench;
import org.curranthaven.internal.bench.SlopesBench;
import org.curranthaven.internal.standin.LocalFleet;
import org.curranthaven.internal.standin.Workloads;

/** {@code bench}: measures how costs grow with size, and ratios to baselines of the same run. */
final class BenchCommand implements Command {
  private static final long READY_TIMEOUT_MILLIS = 20_000;

  @Override
  public void register(Subparsers parsers) {
    Subparser parser =
        parsers
            .addParser("bench")
            .help("measure how costs grow with size, and ratios to baselines");
    Subparsers kinds = parser.addSubparsers().metavar("KIND");
    addKind(kinds, "slopes", "cost of the work of each role at several sizes, with a fitted line");
    addKind(kinds, "crashes", "crashes of engines at several sizes, with a fitted line");
    addKind(kinds, "claims", "ledger claims through three voters compared with synced disk writes");
    addKind(kinds, "restart", "time to load the state after 100, 1,000 and 100,000 changes");
    addKind(
            kinds,
            "overhead",
            "streams through a host compared with streams directly from an engine")
        .addArgument("--streams")
        .type(Integer.class)
        .setDefault(100)
        .help("concurrent streams; each delivers about 33 tokens per second");
  }

  private Subparser addKind(Subparsers kinds, String name, String help) {
    Subparser parser = kinds.addParser(name).help(help);
    parser.setDefault(Main.COMMAND, this).setDefault("kind", name);
    return parser;
  }

  @Override
  public int run(Namespace arguments) throws IOException, InterruptedException {
    Logging.configureErrorsOnly();
    switch (arguments.getString("kind")) {
      case "slopes" -> new SlopesBench(System.out::println).run();
      case "crashes" -> new CrashesBench(System.out::println).run();
      case "claims" -> new ClaimsBench(System.out::println).run();
      case "restart" -> new RestartBench(System.out::println).run();
      default ->
          new OverheadBench(arguments.getInt("streams"), System.out::println)
              .run(BenchCommand::configure);
    }
    return 0;
  }

  /**
   * Configures the host; retries until it succeeds, since a new host may not accept changes yet.
   */
  private static void configure(String httpAddress) throws IOException, InterruptedException {
    AdminClient client = new AdminClient(httpAddress);
    LocalFleet.await(
        READY_TIMEOUT_MILLIS,
        () -> {
          try {
            return client.submitChange("bench", 0, "bench", Workloads.configurationEdits())
                instanceof Outcome.Success<JsonNode>;
          } catch (IOException e) {
            return false;
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
          }
        });
  }
}
