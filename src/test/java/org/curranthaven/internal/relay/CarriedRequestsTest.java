package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a request that a connection carries twice, and against unbounded memory. */
class CarriedRequestsTest {
  private final CarriedRequests requests = new CarriedRequests();

  @Test
  void a_request_may_be_carried_once() {
    requests.add("a");

    assertThat(requests.mayAdd("a")).isFalse();
    assertThat(requests.mayAdd("b")).isTrue();
  }

  @Test
  void a_request_without_an_id_may_only_be_the_first() {
    assertThat(requests.mayAdd("")).isTrue();

    requests.add("a");

    assertThat(requests.mayAdd("")).isFalse();
  }

  @Test
  void the_number_of_requests_is_bounded() {
    for (int i = 0; i < CarriedRequests.MAX_REQUESTS; i++) {
      assertThat(requests.isFull()).isFalse();
      requests.add("r" + i);
    }

    assertThat(requests.isFull()).isTrue();
    assertThat(requests.mayAdd("other")).isFalse();
  }

  @Test
  void the_age_of_a_copy_counts_from_the_answer() {
    requests.add("a");
    assertThat(requests.millisSinceAnswer("a", 50)).isNegative();

    requests.recordAnswer("a", 60);

    assertThat(requests.millisSinceAnswer("a", 100)).isEqualTo(40);
    assertThat(requests.millisSinceAnswer("b", 100)).isNegative();
  }
}
