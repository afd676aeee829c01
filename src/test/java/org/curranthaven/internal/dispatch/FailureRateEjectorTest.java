package org.curranthaven.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class FailureRateEjectorTest {
  private static final List<String> PEERS = List.of("a", "b", "c");

  private final FailureRateEjector ejector = new FailureRateEjector();

  /** Plays calls of which every {@code n}th fails at the named backend server. */
  private void recordRequests(String backend, int calls, int failEvery) {
    for (int i = 1; i <= calls; i++) {
      if (i % failEvery == 0) {
        ejector.failed(backend, PEERS, 0);
      } else {
        ejector.succeeded(backend);
      }
    }
  }

  @Test
  void one_that_fails_every_other_call_while_its_peers_do_not_is_taken_out() {
    recordRequests("b", 30, 30);
    recordRequests("c", 30, 30);
    recordRequests("a", 20, 2);

    assertThat(ejector.isEjected("a", 1)).isTrue();
    assertThat(ejector.isEjected("b", 1)).isFalse();
  }

  @Test
  void it_comes_back_after_a_time() {
    recordRequests("a", 20, 2);

    assertThat(ejector.isEjected("a", 60_000)).isFalse();
  }

  @Test
  void where_all_fail_alike_none_is_taken_out() {
    for (int i = 0; i < 20; i++) {
      PEERS.forEach(peer -> recordRequests(peer, 2, 2));
    }

    assertThat(PEERS).noneMatch(peer -> ejector.isEjected(peer, 1));
  }

  @Test
  void never_more_than_a_third_are_out_at_once() {
    recordRequests("a", 20, 1);
    recordRequests("b", 20, 1);

    assertThat(PEERS.stream().filter(peer -> ejector.isEjected(peer, 1))).hasSize(1);
  }
}
