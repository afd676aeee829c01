package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a log that is filled by one backend server that repeats its responses. */
class StrayResponseLogTest {
  private final List<StrayResponse.Reason> counted = new ArrayList<>();
  private final List<String> lines = new ArrayList<>();
  private final StrayResponseLog log = new StrayResponseLog(counted::add, lines::add);

  private void record(long nowMillis) {
    log.record(
        new StrayResponse(StrayResponse.Reason.OTHER_REQUEST, "127.0.0.1:1", "b", "a", 503, 40),
        nowMillis);
  }

  @Test
  void a_line_names_the_server_both_ids_and_the_age_of_the_copy() {
    record(0);

    assertThat(lines.getFirst())
        .contains("127.0.0.1:1", "\"a\"", "\"b\"", "503", "OTHER_REQUEST", "40 ms after");
  }

  @Test
  void all_responses_are_counted_and_the_lines_of_each_interval_are_bounded() {
    for (int i = 0; i < 100; i++) {
      record(0);
    }
    record(StrayResponseLog.INTERVAL_MILLIS);

    assertThat(counted).hasSize(101);
    assertThat(lines).hasSize(StrayResponseLog.MAX_LINES_PER_INTERVAL + 1);
    assertThat(lines.getLast())
        .contains((100 - StrayResponseLog.MAX_LINES_PER_INTERVAL) + " lines suppressed");
  }
}
