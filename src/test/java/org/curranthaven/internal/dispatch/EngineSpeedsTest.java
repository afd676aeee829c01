package org.curranthaven.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.curranthaven.internal.transport.wire.BackendRecord;
import org.junit.jupiter.api.Test;

class EngineSpeedsTest {
  private final EngineSpeeds speeds = new EngineSpeeds(true);
  private final BackendState fast = engine("f", "fast");
  private final BackendState slow = engine("s", "slow");
  private final BackendState first = engine("x", "engines");
  private final BackendState second = engine("y", "engines");

  private static BackendState engine(String id, String service) {
    return new BackendState(BackendRecord.newBuilder().setId(id).setService(service).build(), 0);
  }

  @Test
  void engines_four_times_apart_in_speed_are_learnt_within_a_few_requests() {
    for (int i = 0; i < 12; i++) {
      speeds.recordOutput(fast, 100, 500);
      speeds.recordOutput(slow, 100, 2_000);
      speeds.recordPrompts("fast", 1_000, 80);
      speeds.recordPrompts("slow", 1_000, 320);
    }

    assertThat(speeds.millisPerOutputToken("fast")).isCloseTo(5, within(1.0));
    assertThat(speeds.millisPerOutputToken("slow")).isCloseTo(20, within(2.0));
    assertThat(speeds.millisPerPromptToken("fast")).isCloseTo(0.08, within(0.02));
    assertThat(speeds.millisPerPromptToken("slow")).isCloseTo(0.32, within(0.04));
  }

  @Test
  void an_outlier_changes_a_learnt_speed_little() {
    for (int i = 0; i < 100; i++) {
      speeds.recordOutput(first, 100, 1_000);
    }

    speeds.recordOutput(first, 1, 5_000);

    assertThat(speeds.millisPerOutputToken("engines")).isLessThan(11);
  }

  @Test
  void an_engine_that_is_slower_than_its_peers_is_known_by_its_slowness() {
    for (int i = 0; i < 60; i++) {
      speeds.recordOutput(first, 100, 1_000);
      speeds.recordOutput(second, 100, 3_000);
    }

    assertThat(speeds.relativeSlowness(first)).isLessThan(-0.3);
    assertThat(speeds.relativeSlowness(second)).isGreaterThan(0.3);
    assertThat(speeds.relativeSlowness(engine("new", "engines"))).isZero();
  }

  @Test
  void without_learning_the_start_values_hold() {
    EngineSpeeds fixed = new EngineSpeeds(false);
    double before = fixed.millisPerOutputToken("engines");

    fixed.recordOutput(first, 100, 9_000);

    assertThat(fixed.millisPerOutputToken("engines")).isEqualTo(before);
  }
}
