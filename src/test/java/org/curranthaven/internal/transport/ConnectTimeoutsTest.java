package org.curranthaven.internal.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class ConnectTimeoutsTest {
  private static final String HOST = "10.0.0.1:7000";

  private final ConnectTimeouts times = new ConnectTimeouts();

  @Test
  void a_host_that_comes_back_within_two_seconds_is_dialled_again_a_moment_later() {
    int elapsedMillis = 0;
    while (elapsedMillis < 2_000) {
      assertThat(times.timeoutMillis(HOST)).isLessThanOrEqualTo(250);
      elapsedMillis += times.timeoutMillis(HOST);
      times.recordTimeout(HOST);
    }
  }

  @Test
  void a_host_that_never_answers_in_time_is_given_longer() {
    for (int i = 0; i < ConnectTimeouts.SHORT_TIMEOUT_ATTEMPTS; i++) {
      times.recordTimeout(HOST);
    }

    assertThat(times.timeoutMillis(HOST)).isEqualTo(ConnectTimeouts.LONG_TIMEOUT_MILLIS);
    assertThat(times.timeoutMillis("10.0.0.2:7000"))
        .isEqualTo(ConnectTimeouts.SHORT_TIMEOUT_MILLIS);
  }

  @Test
  void a_host_that_answered_is_given_up_soon_again() {
    for (int i = 0; i < ConnectTimeouts.SHORT_TIMEOUT_ATTEMPTS; i++) {
      times.recordTimeout(HOST);
    }

    times.recordSuccess(HOST);

    assertThat(times.timeoutMillis(HOST)).isEqualTo(ConnectTimeouts.SHORT_TIMEOUT_MILLIS);
  }

  @Test
  void a_host_that_is_not_dialled_any_more_is_forgotten() {
    for (int i = 0; i < ConnectTimeouts.SHORT_TIMEOUT_ATTEMPTS; i++) {
      times.recordTimeout(HOST);
    }

    times.retainAddresses(List.of());

    assertThat(times.timeoutMillis(HOST)).isEqualTo(ConnectTimeouts.SHORT_TIMEOUT_MILLIS);
  }
}
