package org.curranthaven.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.curranthaven.api.Outcome;
import org.curranthaven.internal.bench.ClaimsBench;
import org.curranthaven.internal.bench.OverheadBench;
import org.curranthaven.internal.bench.RestartBench;
import org.curranthaven.internal.bench.SlopesBench;
import org.curranthaven.internal.standin.LocalFleet;
import org.curranthaven.internal.standin.Workloads;

/** {@code bench}: measurements against baselines in the same run. */
final class BenchCommand implements Command {
  private static final long READY_MILLIS = 20_000;

  @Override
  public void register(Subparsers parsers) {
    Subparser parser = parsers.addParser("bench").help("measure slopes and ratios");
    Subparsers kinds = parser.addSubparsers().metavar("KIND");
    kind(kinds, "slopes", "cost of each role's work at several sizes, with fitted lines");
    kind(kinds, "claims", "claims through three voters against the disk's synced writes");
    kind(kinds, "restart", "time to read the state after 100, 1,000 and 100,000 changes");
    kind(kinds, "overhead", "streams through a host against streams from an engine directly")
        .addArgument("--streams")
        .type(Integer.class)
        .setDefault(100)
        .help("streams open at once; each yields about 33 tokens a second");
  }

  private Subparser kind(Subparsers kinds, String name, String help) {
    Subparser parser = kinds.addParser(name).help(help);
    parser.setDefault(Main.COMMAND, this).setDefault("kind", name);
    return parser;
  }

  @Override
  public int run(Namespace arguments) throws IOException, InterruptedException {
    Logging.quiet();
    switch (arguments.getString("kind")) {
      case "slopes" -> new SlopesBench(System.out::println).run();
      case "claims" -> new ClaimsBench(System.out::println).run();
      case "restart" -> new RestartBench(System.out::println).run();
      default ->
          new OverheadBench(arguments.getInt("streams"), System.out::println)
              .run(BenchCommand::configure);
    }
    return 0;
  }

  private static void configure(String httpAddress) throws IOException, InterruptedException {
    AdminClient client = new AdminClient(httpAddress);
    LocalFleet.await(
        READY_MILLIS,
        () -> {
          try {
            return client.change("bench", 0, "bench", Workloads.configurationEdits())
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
