package org.curranthaven.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Function;
import org.curranthaven.internal.dispatch.PlainServerSimulation.Kind;
import org.curranthaven.internal.dispatch.PlainServerSimulation.Policy;
import org.curranthaven.internal.dispatch.PlainServerSimulation.Profile;
import org.curranthaven.internal.dispatch.PlainServerSimulation.Server;
import org.curranthaven.internal.dispatch.PlainServerSimulation.Setting;
import org.curranthaven.internal.dispatch.PlainServerSimulation.Window;
import org.junit.jupiter.api.Test;

/**
 * Guards against a change that makes placement by capacity worse than the ways that it was chosen
 * over. Prints their figures; {@code -Dcapacity.seeds=20} gives those of the design note.
 */
class CapacityComparisonTest {
  private static final int SEEDS = Integer.getInteger("capacity.seeds", 2);
  private static final long CHANGE_MILLIS = 10_000;
  private static final long ADAPTED_MILLIS = 13_000;
  private static final long END_MILLIS = 40_000;
  private static final int SERVERS = 5;
  private static final int SLOTS = 6;
  private static final Profile FAST = Profile.ofSpeed(1.2);
  private static final Profile SLOW = Profile.ofSpeed(0.55);

  private record Case(String name, Profile first, Profile others, double perSecond) {
    List<Server> servers() {
      List<Server> servers = new ArrayList<>();
      for (int i = 0; i < SERVERS; i++) {
        servers.add(new Server("s" + i, SLOTS, FAST, i == 0 ? first : others));
      }
      return servers;
    }
  }

  private static final List<Case> CASES =
      List.of(
          new Case("one slow", SLOW, FAST, 300),
          new Case("one with knee 2", FAST.withKnee(2, 0.5), FAST, 380),
          new Case("slow phases", FAST.withNoise(), FAST.withNoise(), 300),
          new Case("slow, phases", SLOW.withNoise(), FAST.withNoise(), 300),
          new Case("one fails fast", FAST.failingAtOnce(), FAST, 300),
          new Case("all slow", SLOW, SLOW, 180),
          new Case("all equal", FAST, FAST, 300));

  private record Alternative(String name, Function<PlainServerSimulation, Policy> policy) {}

  private static final Alternative CAPACITY =
      new Alternative("capacity", created -> new CapacityPolicies.Core(created, Set.of()));

  private static final List<Alternative> OTHERS =
      List.of(
          new Alternative(
              "switched off",
              created -> new CapacityPolicies.Core(created, Set.of(Mechanism.SERVER_CAPACITY))),
          new Alternative("least outstanding", CapacityPolicies.LeastOutstanding::new),
          new Alternative("gradient", CapacityAlternatives.Gradient::new),
          new Alternative("additive increase", CapacityAlternatives.AdditiveIncrease::new),
          new Alternative("rate per concurrency", CapacityAlternatives.RatePerConcurrency::new));

  /** Means over the seeds, compared with the oracle. */
  private record Result(double p99Ratio, double shareDeviation, double failureShare) {}

  private static Result play(Case played, Alternative alternative) {
    double p99Ratio = 0;
    double shareDeviation = 0;
    double failureShare = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      Setting setting =
          new Setting(
              played.servers(),
              List.of(new Kind("requests", played.perSecond(), 1, "")),
              CHANGE_MILLIS,
              END_MILLIS,
              seed);
      Window window = run(setting, alternative.policy());
      Window best = run(setting, CapacityPolicies.Oracle::new);
      p99Ratio += window.p99Millis() / best.p99Millis() / SEEDS;
      shareDeviation += largestDeviation(window, best) / SEEDS;
      failureShare += window.failureShare() / SEEDS;
    }
    return new Result(p99Ratio, shareDeviation, failureShare);
  }

  private static Window run(Setting setting, Function<PlainServerSimulation, Policy> policy) {
    return new PlainServerSimulation(setting, policy).run().window(ADAPTED_MILLIS, END_MILLIS);
  }

  /** Returns the largest difference of a server's share to the best, in equal shares. */
  private static double largestDeviation(Window window, Window best) {
    double largest = 0;
    for (int i = 0; i < SERVERS; i++) {
      String server = "s" + i;
      largest = Math.max(largest, Math.abs(window.shareOf(server) - best.shareOf(server)));
    }
    return largest * SERVERS;
  }

  @Test
  void placement_by_capacity_is_in_no_case_far_from_the_best() {
    for (Case played : CASES) {
      Result result = play(played, CAPACITY);
      print(played, CAPACITY, result);
      assertThat(result.p99Ratio()).as(played.name()).isLessThan(1.25);
      assertThat(result.shareDeviation()).as(played.name()).isLessThan(0.2);
      assertThat(result.failureShare()).as(played.name()).isLessThan(0.01);
    }
  }

  @Test
  void each_alternative_misses_a_bound_in_some_case() {
    for (Alternative alternative : OTHERS) {
      boolean misses = false;
      for (Case played : CASES) {
        Result result = play(played, alternative);
        print(played, alternative, result);
        misses |= result.p99Ratio() > 1.25 || result.failureShare() > 0.01;
      }
      assertThat(misses).as(alternative.name()).isTrue();
    }
  }

  private static void print(Case played, Alternative alternative, Result result) {
    System.out.printf(
        Locale.ROOT,
        "%-22s %-16s p99 %.2f of the oracle's, share off by %.2f, %.3f failed%n",
        alternative.name(),
        played.name(),
        result.p99Ratio(),
        result.shareDeviation(),
        result.failureShare());
  }
}
