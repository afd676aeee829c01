package org.curranthaven.internal.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class WorkspaceLimiterTest {
  @Test
  void a_flooding_workspace_is_held_to_its_limit_over_all_hosts_within_the_stated_error() {
    int hosts = 8;
    List<WorkspaceLimiter> limiters = new ArrayList<>();
    for (int i = 0; i < hosts; i++) {
      limiters.add(new WorkspaceLimiter());
    }
    int allowed = 0;
    for (long now = 0; now < 10_000; now++) {
      if (limiters.get((int) (now % hosts)).tryAcquire("flood", 20, hosts, now) == 0) {
        allowed++;
      }
    }
    assertThat(allowed).isBetween(200 - hosts, 200 + hosts);
  }

  @Test
  void one_workspace_does_not_use_up_another_ones_share() {
    WorkspaceLimiter limiter = new WorkspaceLimiter();
    assertThat(limiter.tryAcquire("flood", 1, 1, 0)).isZero();
    assertThat(limiter.tryAcquire("flood", 1, 1, 0)).isEqualTo(1_000);

    assertThat(limiter.tryAcquire("other", 1, 1, 0)).isZero();
  }

  @Test
  void a_workspace_without_a_limit_is_never_held() {
    WorkspaceLimiter limiter = new WorkspaceLimiter();
    for (int i = 0; i < 1_000; i++) {
      assertThat(limiter.tryAcquire("free", 0, 8, 0)).isZero();
    }
  }
}
