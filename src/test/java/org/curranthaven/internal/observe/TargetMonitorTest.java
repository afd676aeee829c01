package org.curranthaven.internal.observe;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class TargetMonitorTest {
  private final TargetMonitor monitor = new TargetMonitor();

  private TargetMonitor.Window lastMinute(long nowMillis) {
    Map<String, TargetMonitor.ClassStatus> statuses = monitor.statuses(nowMillis);
    return statuses.values().iterator().next().lastMinute();
  }

  @Test
  void a_class_meets_its_target_when_95_of_100_first_replies_are_within_it() {
    for (int i = 0; i < 100; i++) {
      monitor.recordFirstReply("interactive", i < 95 ? 300 : 500, 400, 1_000);
    }
    assertThat(lastMinute(2_000).met()).isTrue();

    monitor.recordFirstReply("interactive", 500, 400, 1_000);
    assertThat(lastMinute(2_000).met()).isFalse();
  }

  @Test
  void a_failed_request_counts_as_a_missed_first_reply() {
    for (int i = 0; i < 10; i++) {
      monitor.recordFirstReply("interactive", 300, 400, 1_000);
    }
    monitor.recordFailure("interactive", 1_000);

    assertThat(lastMinute(2_000).met()).isFalse();
  }

  @Test
  void first_replies_older_than_the_window_are_not_counted() {
    monitor.recordFirstReply("interactive", 500, 400, 1_000);

    assertThat(lastMinute(70_000).replies()).isZero();
    assertThat(monitor.statuses(70_000).values().iterator().next().last15Minutes().replies())
        .isEqualTo(1);
  }
}
