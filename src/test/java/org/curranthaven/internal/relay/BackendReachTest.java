package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class BackendReachTest {
  private final BackendReach reach = new BackendReach();

  private void fail(String... addresses) {
    for (String address : addresses) {
      reach.recordFailure(address);
    }
  }

  @Test
  void failures_at_several_backend_servers_in_a_row_show_a_partition() {
    fail("a", "b");
    assertThat(reach.isPartitioned()).isFalse();

    fail("a");

    assertThat(reach.isPartitioned()).isTrue();
  }

  @Test
  void one_backend_server_that_is_down_is_no_partition() {
    fail("a", "a", "a", "a", "a");

    assertThat(reach.isPartitioned()).isFalse();
  }

  @Test
  void a_response_or_connection_ends_a_partition() {
    fail("a", "b", "c");
    reach.recordReached();

    assertThat(reach.isPartitioned()).isFalse();
    fail("a", "b");
    assertThat(reach.isPartitioned()).isFalse();
  }

  @Test
  void a_request_now_and_then_finds_out_whether_the_partition_has_ended() {
    fail("a", "b", "c");

    assertThat(reach.shouldForward(10_000)).isFalse();
    assertThat(reach.shouldForward(10_001)).isTrue();
    assertThat(reach.shouldForward(10_000 + BackendReach.TRIAL_INTERVAL_MILLIS - 1)).isTrue();
    assertThat(reach.shouldForward(10_000 + BackendReach.TRIAL_INTERVAL_MILLIS)).isFalse();
    assertThat(reach.shouldForward(10_001 + BackendReach.TRIAL_INTERVAL_MILLIS)).isTrue();
  }

  @Test
  void all_requests_go_to_backend_servers_without_a_partition() {
    fail("a", "b");

    assertThat(reach.shouldForward(10_000)).isFalse();
    assertThat(reach.shouldForward(10_001)).isFalse();
  }
}
