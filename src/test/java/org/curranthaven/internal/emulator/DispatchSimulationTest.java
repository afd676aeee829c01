package org.curranthaven.internal.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.curranthaven.api.Outcome;
import org.curranthaven.internal.dispatch.Mechanism;
import org.junit.jupiter.api.Test;

/** Replays load patterns and faults; every figure is a mean over the same few seeds. */
class DispatchSimulationTest {
  private static final int SEEDS = 4;
  private static final Deployment DRIVE = read("drive");
  private static final Deployment DRIVE_GROWN = read("drive-grown");

  private static Deployment read(String name) {
    Path file = Path.of("deploy/deployments/" + name + ".jsonc");
    return ((Outcome.Success<Deployment>) Deployment.read(file)).value();
  }

  private static List<Figures> play(
      Deployment deployment, Deployment.Day day, PolicyVariant variant) {
    return IntStream.rangeClosed(1, SEEDS)
        .parallel()
        .mapToObj(seed -> DispatchSimulation.run(deployment, day, variant, seed))
        .toList();
  }

  private static double worth(Deployment deployment, String day, PolicyVariant variant) {
    return play(deployment, deployment.day(day), variant).stream()
        .mapToDouble(Figures::worth)
        .average()
        .orElseThrow();
  }

  private static double served(Deployment deployment, Deployment.Day day) {
    return play(deployment, day, PolicyVariant.serving()).stream()
        .mapToDouble(Figures::earned)
        .average()
        .orElseThrow();
  }

  @Test
  void the_same_seed_gives_the_same_result() {
    Deployment.Day day = DRIVE.day("losses");
    Figures first = DispatchSimulation.run(DRIVE, day, PolicyVariant.serving(), 3);
    Figures second = DispatchSimulation.run(DRIVE, day, PolicyVariant.serving(), 3);

    assertThat(second.worthByWindow()).isEqualTo(first.worthByWindow());
    assertThat(second.preemptions()).isEqualTo(first.preemptions());
  }

  @Test
  void every_policy_gets_the_same_arrivals() {
    Deployment.Day day = DRIVE.day("quiet");
    Figures serving = DispatchSimulation.run(DRIVE, day, PolicyVariant.serving(), 3);
    Figures baseline =
        DispatchSimulation.run(DRIVE, day, PolicyVariant.baseline("least-outstanding"), 3);

    assertThat(serving.counts("digest").values().stream().mapToInt(Integer::intValue).sum())
        .isEqualTo(baseline.counts("digest").values().stream().mapToInt(Integer::intValue).sum());
  }

  @Test
  void requests_survive_engines_that_are_taken_away_after_a_notice() {
    double serving = worth(DRIVE, "quiet", PolicyVariant.serving());

    assertThat(serving).isGreaterThan(0.97);
    assertThat(worth(DRIVE, "quiet", PolicyVariant.without(Mechanism.MIGRATION)))
        .isLessThan(serving - 0.03);
  }

  @Test
  void full_memories_are_used_without_keeping_requests_from_them() {
    assertThat(worth(DRIVE_GROWN, "quiet", PolicyVariant.serving())).isGreaterThan(0.9);
  }

  @Test
  void memory_that_outputs_will_need_is_not_given_away() {
    assertThat(worth(DRIVE_GROWN, "quiet", PolicyVariant.serving()))
        .isGreaterThan(
            worth(DRIVE_GROWN, "quiet", PolicyVariant.without(Mechanism.MEMORY_FORECAST)) + 0.03);
  }

  @Test
  void the_serving_policy_is_not_below_the_baseline_on_any_day() {
    for (Deployment.Day day : DRIVE.days()) {
      assertThat(worth(DRIVE, day.name(), PolicyVariant.serving()))
          .as(day.name())
          .isGreaterThan(
              worth(DRIVE, day.name(), PolicyVariant.baseline("least-outstanding")) - 0.01);
    }
  }

  @Test
  void the_worth_served_does_not_collapse_when_the_load_exceeds_the_capacity() {
    assertServedHolds(DRIVE);
  }

  @Test
  void the_worth_served_does_not_collapse_on_engines_half_as_fast() {
    assertServedHolds(DRIVE.withEnginesSlowedBy(2));
  }

  private static void assertServedHolds(Deployment deployment) {
    Deployment.Day quiet = deployment.day("quiet");
    List<Double> served = new ArrayList<>();
    for (double factor : new double[] {1, 1.5, 2, 3}) {
      served.add(
          served(
              deployment,
              new Deployment.Day("load " + factor, quiet.seconds(), factor, quiet.faults())));
    }
    double highest = 0;
    for (double worth : served) {
      highest = Math.max(highest, worth);
      assertThat(worth)
          .as("worth served at growing load: %s", served)
          .isGreaterThan(0.95 * highest);
    }
  }
}
