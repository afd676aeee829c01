package org.curranthaven.internal.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class ConnectTimeoutsTest {
  private static final String ADDRESS = "10.0.0.1:7000";

  private final ConnectTimeouts timeouts = new ConnectTimeouts();

  @Test
  void a_host_that_restarts_within_two_seconds_is_dialled_again_within_250_ms() {
    int elapsedMillis = 0;
    while (elapsedMillis < 2_000) {
      assertThat(timeouts.timeoutMillis(ADDRESS)).isLessThanOrEqualTo(250);
      elapsedMillis += timeouts.timeoutMillis(ADDRESS);
      timeouts.recordTimeout(ADDRESS);
    }
  }

  @Test
  void an_address_with_many_timeouts_gets_the_long_timeout() {
    for (int i = 0; i < ConnectTimeouts.SHORT_TIMEOUT_ATTEMPTS; i++) {
      timeouts.recordTimeout(ADDRESS);
    }

    assertThat(timeouts.timeoutMillis(ADDRESS)).isEqualTo(ConnectTimeouts.LONG_TIMEOUT_MILLIS);
    assertThat(timeouts.timeoutMillis("10.0.0.2:7000"))
        .isEqualTo(ConnectTimeouts.SHORT_TIMEOUT_MILLIS);
  }

  @Test
  void a_successful_connection_restores_the_short_timeout() {
    for (int i = 0; i < ConnectTimeouts.SHORT_TIMEOUT_ATTEMPTS; i++) {
      timeouts.recordTimeout(ADDRESS);
    }

    timeouts.recordSuccess(ADDRESS);

    assertThat(timeouts.timeoutMillis(ADDRESS)).isEqualTo(ConnectTimeouts.SHORT_TIMEOUT_MILLIS);
  }

  @Test
  void an_address_that_is_no_longer_dialled_is_discarded() {
    for (int i = 0; i < ConnectTimeouts.SHORT_TIMEOUT_ATTEMPTS; i++) {
      timeouts.recordTimeout(ADDRESS);
    }

    timeouts.retainAddresses(List.of());

    assertThat(timeouts.timeoutMillis(ADDRESS)).isEqualTo(ConnectTimeouts.SHORT_TIMEOUT_MILLIS);
  }
}
