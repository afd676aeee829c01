package org.curranthaven.internal.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class WorkspaceLimiterTest {
  @Test
  void workspace_limit_holds_over_all_hosts_within_the_documented_accuracy() {
    int hosts = 8;
    List<WorkspaceLimiter> limiters = new ArrayList<>();
    for (int i = 0; i < hosts; i++) {
      limiters.add(new WorkspaceLimiter());
    }
    int allowed = 0;
    for (long nowMillis = 0; nowMillis < 10_000; nowMillis++) {
      if (limiters.get((int) (nowMillis % hosts)).tryAcquire("busy", 20, hosts, nowMillis) == 0) {
        allowed++;
      }
    }
    assertThat(allowed).isBetween(200 - hosts, 200 + hosts);
  }

  @Test
  void workspace_at_its_limit_does_not_affect_another_workspace() {
    WorkspaceLimiter limiter = new WorkspaceLimiter();
    assertThat(limiter.tryAcquire("busy", 1, 1, 0)).isZero();
    assertThat(limiter.tryAcquire("busy", 1, 1, 0)).isEqualTo(1_000);

    assertThat(limiter.tryAcquire("other", 1, 1, 0)).isZero();
  }

  @Test
  void workspace_without_a_limit_is_always_allowed() {
    WorkspaceLimiter limiter = new WorkspaceLimiter();
    for (int i = 0; i < 1_000; i++) {
      assertThat(limiter.tryAcquire("unlimited", 0, 8, 0)).isZero();
    }
  }
}
