package org.curranthaven.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {
  private final RetryBudget budget = new RetryBudget(new SplittableRandom(1));

  @Test
  void when_everything_fails_retries_add_at_most_a_tenth_of_the_load() {
    int requests = 10_000;
    int retries = 0;
    for (int i = 0; i < requests; i++) {
      budget.requested("door");
      if (budget.tryRetry("door")) {
        retries++;
      }
    }
    assertThat(retries).isLessThanOrEqualTo(requests / 10 + (int) RetryBudget.MAX_SAVED_RETRIES);
  }

  @Test
  void one_class_does_not_spend_another_ones_retries() {
    while (budget.tryRetry("draft")) {
      budget.requested("door");
    }
    assertThat(budget.tryRetry("door")).isTrue();
  }

  @Test
  void waiting_times_are_spread_over_a_range_that_grows_to_a_bound() {
    for (int failures = 1; failures < 40; failures++) {
      assertThat(budget.backoffMillis(failures)).isBetween(0L, 1_000L);
    }
  }
}
