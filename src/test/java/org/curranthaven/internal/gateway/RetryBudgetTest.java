package org.curranthaven.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {
  private final RetryBudget budget = new RetryBudget(new SplittableRandom(1));

  @Test
  void retries_add_at_most_a_tenth_of_the_load_when_every_request_fails() {
    int requests = 10_000;
    int retries = 0;
    for (int i = 0; i < requests; i++) {
      budget.requested("interactive");
      if (budget.tryRetry("interactive")) {
        retries++;
      }
    }
    assertThat(retries).isLessThanOrEqualTo(requests / 10 + (int) RetryBudget.MAX_SAVED_RETRIES);
  }

  @Test
  void one_class_does_not_consume_the_retries_of_another() {
    while (budget.tryRetry("batch")) {
      budget.requested("interactive");
    }
    assertThat(budget.tryRetry("interactive")).isTrue();
  }

  @Test
  void retry_delays_are_between_zero_and_the_largest_delay() {
    for (int failedAttempts = 1; failedAttempts < 40; failedAttempts++) {
      assertThat(budget.backoffMillis(failedAttempts)).isBetween(0L, 1_000L);
    }
  }
}
