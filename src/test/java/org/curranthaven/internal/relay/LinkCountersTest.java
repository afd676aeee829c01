package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LinkCountersTest {
  @Test
  void decisions_are_counted_by_reason() {
    LinkCounters counters = new LinkCounters();

    counters.recordIgnored(LinkCounters.Reason.OTHER_TERM, 3, () -> "of term 2", 0);
    counters.recordIgnored(LinkCounters.Reason.OTHER_TERM, 0, () -> "of term 2", 10);
    counters.recordIgnored(LinkCounters.Reason.RUNS_ALREADY, 1, () -> "placement request 7", 20);
    counters.recordSentAgain(8, 30);

    assertThat(counters.ignored(LinkCounters.Reason.OTHER_TERM)).isEqualTo(3);
    assertThat(counters.ignored(LinkCounters.Reason.RUNS_ALREADY)).isEqualTo(1);
    assertThat(counters.ignored(LinkCounters.Reason.UNKNOWN_REQUEST)).isZero();
    assertThat(counters.sentAgain()).isEqualTo(1);
  }
}
