package org.curranthaven.internal.cli;

import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.curranthaven.api.Failure;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.check.Action;
import org.curranthaven.internal.check.ActionSequences;
import org.curranthaven.internal.check.InjectedFault;
import org.curranthaven.internal.check.InvariantViolation;
import org.jspecify.annotations.Nullable;

/** {@code check}: runs the replicated log through sequences of events drawn from seeds. */
final class CheckCommand implements Command {
  private static final int DEFAULT_SEEDS = 1_000;
  private static final int DEFAULT_ACTIONS = 6_000;
  private static final long NANOS_PER_MINUTE = 60_000_000_000L;

  @Override
  public void register(Subparsers parsers) {
    Subparser parser =
        parsers
            .addParser("check")
            .help("check the replicated log over drawn sequences of events")
            .description(
                "Runs the log's replicas through lost, late, repeated and reordered messages,"
                    + " crashes, cuts, wiped disks and drifting clocks, and checks that there is one"
                    + " leader a term and one lease at a time, that logs agree, and that nothing"
                    + " acknowledged is lost. Prints the seed and a short trace of a violation.");
    parser
        .addArgument("--seeds")
        .type(Integer.class)
        .setDefault(DEFAULT_SEEDS)
        .help("how many seeds to run");
    parser.addArgument("--first-seed").type(Long.class).setDefault(1L).help("first seed");
    parser
        .addArgument("--minutes")
        .type(Integer.class)
        .setDefault(60)
        .help("stop after this many minutes");
    parser
        .addArgument("--replicas")
        .type(Integer.class)
        .setDefault(3)
        .help("replicas of the group");
    parser
        .addArgument("--breakage")
        .type(InjectedFault.class)
        .setDefault(InjectedFault.NONE)
        .help("deliberate fault, to see that the check can fail");
    parser.setDefault(Main.COMMAND, this);
  }

  @Override
  public int run(Namespace arguments) {
    long first = arguments.getLong("first_seed");
    int seeds = arguments.getInt("seeds");
    int replicas = arguments.getInt("replicas");
    InjectedFault breakage = arguments.get("breakage");
    long deadline = System.nanoTime() + arguments.getInt("minutes") * NANOS_PER_MINUTE;
    long seed = first;
    for (; seed < first + seeds && System.nanoTime() < deadline; seed++) {
      List<Action> actions = ActionSequences.draw(seed, DEFAULT_ACTIONS);
      InvariantViolation violation =
          ActionSequences.findViolation(seed, replicas, actions, breakage);
      if (violation != null) {
        return report(seed, replicas, actions, breakage, violation);
      }
    }
    System.out.printf(
        "%d seeds of %d actions with %d replicas: every invariant held%n",
        seed - first, DEFAULT_ACTIONS, replicas);
    return 0;
  }

  private static int report(
      long seed,
      int replicas,
      List<Action> actions,
      InjectedFault breakage,
      InvariantViolation violation) {
    List<Action> shortest = ActionSequences.minimize(seed, replicas, actions, breakage);
    System.out.println("seed " + seed + ": " + violation.getMessage());
    System.out.println("shortest trace found, " + shortest.size() + " actions:");
    shortest.forEach(action -> System.out.println("  " + action));
    @Nullable InvariantViolation last =
        ActionSequences.findViolation(seed, replicas, shortest, breakage);
    return Main.fail(
        Failure.of(
            ResultCode.PROMISE_BROKEN,
            "an invariant does not hold: " + (last == null ? violation : last).getMessage()));
  }
}
