package org.curranthaven.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class FailureRateEjectorTest {
  private static final List<String> PEERS = List.of("a", "b", "c");

  private final FailureRateEjector ejector = new FailureRateEjector();

  /** Records requests to the backend server, of which every {@code failureInterval}-th fails. */
  private void recordRequests(String backend, int requests, int failureInterval) {
    for (int i = 1; i <= requests; i++) {
      if (i % failureInterval == 0) {
        ejector.recordFailure(backend, PEERS, 0);
      } else {
        ejector.recordSuccess(backend);
      }
    }
  }

  @Test
  void a_backend_server_that_fails_every_other_request_while_its_peers_do_not_is_ejected() {
    recordRequests("b", 30, 30);
    recordRequests("c", 30, 30);
    recordRequests("a", 20, 2);

    assertThat(ejector.isEjected("a", 1)).isTrue();
    assertThat(ejector.isEjected("b", 1)).isFalse();
  }

  @Test
  void an_ejection_ends_after_some_time() {
    recordRequests("a", 20, 2);

    assertThat(ejector.isEjected("a", 60_000)).isFalse();
  }

  @Test
  void no_backend_server_is_ejected_when_all_fail_equally() {
    for (int i = 0; i < 20; i++) {
      PEERS.forEach(peer -> recordRequests(peer, 2, 2));
    }

    assertThat(PEERS).noneMatch(peer -> ejector.isEjected(peer, 1));
  }

  @Test
  void at_most_a_third_of_the_backend_servers_are_ejected_at_once() {
    recordRequests("a", 20, 1);
    recordRequests("b", 20, 1);

    assertThat(PEERS.stream().filter(peer -> ejector.isEjected(peer, 1))).hasSize(1);
  }
}
