package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against requests that are sent into the late copies of one backend server for good. */
class ReusePausesTest {
  private static final String ADDRESS = "10.0.0.1:80";
  private static final String OTHER = "10.0.0.2:80";

  private final ReusePauses pauses = new ReusePauses();

  @Test
  void connections_to_a_server_that_sent_a_stray_response_are_not_used_again_for_a_time() {
    pauses.recordStray(ADDRESS, 5_000);

    assertThat(pauses.mayReuse(ADDRESS, 5_000)).isFalse();
    assertThat(pauses.mayReuse(OTHER, 5_000)).isTrue();
    assertThat(pauses.mayReuse(ADDRESS, 5_000 + ReusePauses.FIRST_PAUSE_MILLIS)).isTrue();
  }

  @Test
  void each_pause_that_does_not_suffice_is_followed_by_a_longer_one_up_to_a_limit() {
    long nowMillis = 0;
    long expectedMillis = ReusePauses.FIRST_PAUSE_MILLIS;
    for (int i = 0; i < 8; i++) {
      pauses.recordStray(ADDRESS, nowMillis);
      assertThat(pauses.mayReuse(ADDRESS, nowMillis + expectedMillis - 1)).isFalse();
      assertThat(pauses.mayReuse(ADDRESS, nowMillis + expectedMillis)).isTrue();
      nowMillis += expectedMillis;
      expectedMillis = Math.min(2 * expectedMillis, ReusePauses.MAX_PAUSE_MILLIS);
    }
  }

  @Test
  void stray_responses_during_a_pause_do_not_prolong_it() {
    pauses.recordStray(ADDRESS, 0);
    pauses.recordStray(ADDRESS, ReusePauses.FIRST_PAUSE_MILLIS - 1);

    assertThat(pauses.mayReuse(ADDRESS, ReusePauses.FIRST_PAUSE_MILLIS)).isTrue();
  }

  @Test
  void a_server_that_was_sound_for_long_begins_with_the_first_pause_again() {
    pauses.recordStray(ADDRESS, 0);
    pauses.recordStray(ADDRESS, ReusePauses.FIRST_PAUSE_MILLIS);
    long laterMillis = 3 * ReusePauses.FIRST_PAUSE_MILLIS + ReusePauses.MAX_PAUSE_MILLIS;

    pauses.recordStray(ADDRESS, laterMillis);

    assertThat(pauses.mayReuse(ADDRESS, laterMillis + ReusePauses.FIRST_PAUSE_MILLIS)).isTrue();
  }

  @Test
  void a_server_that_is_gone_is_forgotten() {
    pauses.recordStray(ADDRESS, 0);

    pauses.retain(Set.of(OTHER));

    assertThat(pauses.mayReuse(ADDRESS, 0)).isTrue();
  }
}
