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

/** {@code check}: tests the replicated log with random sequences of events, one for each seed. */
final class CheckCommand implements Command {
  private static final int DEFAULT_SEEDS = 1_000;
  private static final int ACTIONS_PER_SEED = 6_000;
  private static final long NANOS_PER_MINUTE = 60_000_000_000L;

  @Override
  public void register(Subparsers parsers) {
    Subparser parser =
        parsers
            .addParser("check")
            .help("check the replicated log with random sequences of events")
            .description(
                "Exposes the replicas of the log to lost, delayed, duplicated and reordered"
                    + " messages, crashes, network partitions, wiped disks and drifting clocks."
                    + " Checks that there is at most one leader for each term and one lease at a"
                    + " time, that logs agree, and that no acknowledged entry is lost. Prints the"
                    + " seed and a shortened trace of a violation.");
    parser
        .addArgument("--seeds")
        .type(Integer.class)
        .setDefault(DEFAULT_SEEDS)
        .help("number of seeds to run");
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
        .help("replicas in the group");
    parser
        .addArgument("--breakage")
        .type(InjectedFault.class)
        .setDefault(InjectedFault.NONE)
        .help("fault to inject, to verify that the check detects it");
    parser.setDefault(Main.COMMAND, this);
  }

  @Override
  public int run(Namespace arguments) {
    long firstSeed = arguments.getLong("first_seed");
    int seeds = arguments.getInt("seeds");
    int replicas = arguments.getInt("replicas");
    InjectedFault fault = arguments.get("breakage");
    long deadlineNanos = System.nanoTime() + arguments.getInt("minutes") * NANOS_PER_MINUTE;
    long seed = firstSeed;
    for (; seed < firstSeed + seeds && System.nanoTime() < deadlineNanos; seed++) {
      List<Action> actions = ActionSequences.draw(seed, ACTIONS_PER_SEED);
      InvariantViolation violation = ActionSequences.findViolation(seed, replicas, actions, fault);
      if (violation != null) {
        return reportViolation(seed, replicas, actions, fault, violation);
      }
    }
    System.out.printf(
        "%d seeds of %d actions with %d replicas: every invariant held%n",
        seed - firstSeed, ACTIONS_PER_SEED, replicas);
    return 0;
  }

  private static int reportViolation(
      long seed,
      int replicas,
      List<Action> actions,
      InjectedFault fault,
      InvariantViolation violation) {
    List<Action> shortestActions = ActionSequences.minimize(seed, replicas, actions, fault);
    System.out.println("seed " + seed + ": " + violation.getMessage());
    System.out.println("shortest trace found, " + shortestActions.size() + " actions:");
    shortestActions.forEach(action -> System.out.println("  " + action));
    @Nullable InvariantViolation shortestViolation =
        ActionSequences.findViolation(seed, replicas, shortestActions, fault);
    return Main.reportFailure(
        Failure.of(
            ResultCode.PROMISE_BROKEN,
            "an invariant was violated: "
                + (shortestViolation == null ? violation : shortestViolation).getMessage()));
  }
}
