package org.curranthaven.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

/** Guards against a stated slowness that counts after its phase, or that does not count at all. */
class PresentSlownessTest {
  private final PresentSlowness slowness = new PresentSlowness();

  @Test
  void a_statement_counts_less_with_its_age_and_nothing_after_a_phase() {
    slowness.state(250, 10_000);

    assertThat(slowness.factor(10_000)).isEqualTo(2.5);
    assertThat(slowness.factor(10_300)).isCloseTo(1.75, within(0.001));
    assertThat(slowness.factor(10_600)).isEqualTo(1);
    assertThat(slowness.factor(60_000)).isEqualTo(1);
  }

  @Test
  void work_that_outlasts_a_phase_is_slowed_only_while_it_lasts() {
    slowness.state(250, 0);

    assertThat(slowness.slowedMillis(100, 0)).isCloseTo(250, within(0.001));
    assertThat(slowness.slowedMillis(1_000, 0)).isCloseTo(1_360, within(0.001));
    assertThat(slowness.slowedMillis(1_000, 700)).isEqualTo(1_000);
  }

  @Test
  void the_slowest_phase_is_remembered_for_longer_than_it_lasts() {
    slowness.state(250, 0);
    slowness.state(100, 700);

    assertThat(slowness.factor(700)).isEqualTo(1);
    assertThat(slowness.peakFactor(700)).isGreaterThan(2.4);
    assertThat(slowness.peakFactor(200_000)).isCloseTo(1, within(0.01));
  }

  @Test
  void the_average_over_a_time_contains_what_was_stated_in_it() {
    double before = slowness.elapsedSlowedMillis(0);
    slowness.state(300, 1_000);
    double after = slowness.elapsedSlowedMillis(1_600);

    // Without slowness for 1,000 ms, then from a factor of 3 to 1 within 600 ms.
    assertThat(after - before).isCloseTo(1_000 + 2 * 600, within(0.001));
  }
}
