package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class DrainRulesTest {
  @Test
  void every_request_is_accepted_while_load_balancers_cannot_have_detected_the_drain() {
    assertThat(DrainRules.mayAccept(0, 7_700, 39_000)).isTrue();
    assertThat(DrainRules.mayAccept(DrainRules.BALANCER_DETECTION_MILLIS - 1, 5_200, 39_000))
        .isTrue();
  }

  @Test
  void a_request_that_may_outlast_the_process_is_not_accepted_later() {
    assertThat(DrainRules.mayAccept(3_281, 4_419, 39_000)).isFalse();
    assertThat(DrainRules.mayAccept(7_645, 55, 1_500)).isFalse();
  }

  @Test
  void a_short_request_is_accepted_while_its_deadline_is_before_the_end_of_the_process() {
    assertThat(DrainRules.mayAccept(4_000, 3_700, 1_500)).isTrue();
    assertThat(DrainRules.mayAccept(6_100, 1_600, 1_500)).isFalse();
  }
}
