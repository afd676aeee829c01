package org.curranthaven.internal.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against slow phases that differ between the policies that an experiment compares. */
class NoisePhasesTest {
  private static final Deployment.MachineNoise NOISE = new Deployment.MachineNoise(0.15, 600, 2.5);

  @Test
  void machines_are_slow_for_the_share_of_the_time_and_for_whole_phases() {
    NoisePhases phases = new NoisePhases(NOISE, 7);

    double slowShare =
        IntStream.range(0, 10_000)
                .filter(phase -> phases.factor("engine-1", phase * 600L) == 2.5)
                .count()
            / 10_000.0;

    assertThat(slowShare).isCloseTo(0.15, within(0.015));
    for (int phase = 0; phase < 100; phase++) {
      assertThat(phases.factor("engine-1", phase * 600L))
          .isEqualTo(phases.factor("engine-1", phase * 600L + 599));
    }
  }

  @Test
  void the_same_seed_gives_the_same_phases_and_each_machine_has_its_own() {
    NoisePhases phases = new NoisePhases(NOISE, 7);

    assertThat(IntStream.range(0, 100).mapToObj(i -> phases.factor("a", i * 600L)).toList())
        .isEqualTo(
            IntStream.range(0, 100)
                .mapToObj(i -> new NoisePhases(NOISE, 7).factor("a", i * 600L))
                .toList())
        .isNotEqualTo(IntStream.range(0, 100).mapToObj(i -> phases.factor("b", i * 600L)).toList());
  }

  @Test
  void without_noise_servers_state_nothing() {
    assertThat(new NoisePhases(null, 7).statedPercent("a", 0)).isZero();
    assertThat(new NoisePhases(null, 7).factor("a", 0)).isEqualTo(1);
  }
}
