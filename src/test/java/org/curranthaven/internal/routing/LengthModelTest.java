package org.curranthaven.internal.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class LengthModelTest {
  @Test
  void mean_length_is_the_prior_mean_before_any_output() {
    assertThat(new LengthModel().meanRemainingTokens(0))
        .isCloseTo(LengthModel.PRIOR_MEAN_TOKENS, within(40.0));
  }

  @Test
  void remaining_length_is_conditional_on_the_tokens_produced() {
    LengthModel model = new LengthModel();
    SplittableRandom random = new SplittableRandom(1);
    for (int i = 0; i < 1_000; i++) {
      model.record(random.nextBoolean() ? 10 : 1_000);
    }

    assertThat(model.survival(20)).isCloseTo(0.5, within(0.05));
    assertThat(model.meanRemainingTokens(20)).isCloseTo(980, within(120.0));
    assertThat(model.meanRemainingTokens(0)).isCloseTo(505, within(80.0));
  }

  @Test
  void survival_never_increases_with_length() {
    LengthModel model = new LengthModel();
    SplittableRandom random = new SplittableRandom(2);
    for (int i = 0; i < 500; i++) {
      model.record(1 + random.nextInt(3_000));
    }
    for (int tokens = 1; tokens < 5_000; tokens++) {
      assertThat(model.survival(tokens)).isLessThanOrEqualTo(model.survival(tokens - 1));
    }
  }

  @Test
  void old_outputs_are_discarded() {
    LengthModel model = new LengthModel();
    for (int i = 0; i < LengthModel.WINDOW_OUTPUTS; i++) {
      model.record(1_000);
    }
    for (int i = 0; i < 2 * LengthModel.WINDOW_OUTPUTS; i++) {
      model.record(10);
    }

    assertThat(model.survival(100)).isLessThan(0.01);
  }
}
