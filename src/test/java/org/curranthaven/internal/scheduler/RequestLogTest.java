package org.curranthaven.internal.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a client that fills the log with orders. */
class RequestLogTest {
  private final RequestLog log = new RequestLog();

  @Test
  void lines_beyond_the_limit_of_a_second_are_counted_and_reported_in_the_next_one() {
    for (int i = 0; i < RequestLog.MAX_LINES_PER_SECOND + 3; i++) {
      log.write(10_500, "order {}", i);
    }
    assertThat(log.omittedLines()).isEqualTo(3);

    log.write(11_000, "order {}", "next");

    assertThat(log.omittedLines()).isZero();
  }
}
