package org.curranthaven.internal.supervision;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a log that a faulty host fills. */
class LineLimitTest {
  private final LineLimit limit = new LineLimit(2, 1_000);

  @Test
  void lines_beyond_the_limit_of_an_interval_are_omitted_and_counted_once() {
    assertThat(limit.mayWrite(500)).isTrue();
    assertThat(limit.mayWrite(999)).isTrue();
    assertThat(limit.mayWrite(999)).isFalse();
    assertThat(limit.mayWrite(1_000)).isTrue();

    assertThat(limit.omitted()).isEqualTo(1);
    assertThat(limit.takeOmitted()).isEqualTo(1);
    assertThat(limit.takeOmitted()).isZero();
  }

  @Test
  void a_time_before_zero_has_an_interval_of_its_own() {
    assertThat(limit.mayWrite(-1)).isTrue();
    assertThat(limit.mayWrite(-1)).isTrue();
    assertThat(limit.mayWrite(-1)).isFalse();
    assertThat(limit.mayWrite(0)).isTrue();
  }
}
