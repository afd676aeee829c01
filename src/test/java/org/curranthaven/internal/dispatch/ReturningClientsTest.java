package org.curranthaven.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.junit.jupiter.api.Test;

/** Guards against clients that come back as told and are taken for new ones, and the reverse. */
class ReturningClientsTest {
  private static final RequestKind KIND = new RequestKind("engines", 2);

  private final ReturningClients returning = new ReturningClients();

  private static PlacementRequest request(long fingerprint) {
    return PlacementRequest.newBuilder()
        .setService("engines")
        .setWorkspace("workspace")
        .setPriority(2)
        .setFingerprint(fingerprint)
        .build();
  }

  @Test
  void a_client_that_comes_back_as_told_keeps_the_time_of_its_first_arrival() {
    returning.recordRejection(request(1), 3_000, 5_000, 100);

    assertThat(returning.recordArrival(request(1), 5_100)).isTrue();
    assertThat(returning.firstArrivalMillis(request(1))).isEqualTo(100);

    returning.recordRejection(request(1), 3_000, 1_000, 5_100);
    assertThat(returning.recordArrival(request(1), 6_100)).isTrue();
    assertThat(returning.firstArrivalMillis(request(1))).isEqualTo(100);
  }

  @Test
  void a_client_that_repeats_at_once_gains_no_rank() {
    returning.recordRejection(request(1), 3_000, 5_000, 100);

    assertThat(returning.recordArrival(request(1), 110)).isTrue();
    assertThat(returning.firstArrivalMillis(request(1))).isNull();
    assertThat(returning.awaitedTokens(KIND)).isEqualTo(3_000);
  }

  @Test
  void another_request_is_not_known() {
    returning.recordRejection(request(1), 3_000, 5_000, 100);

    assertThat(returning.recordArrival(request(2), 5_100)).isFalse();
    assertThat(returning.firstArrivalMillis(request(2))).isNull();
  }

  @Test
  void memory_is_awaited_until_the_client_is_back_and_due_about_the_time_it_was_told() {
    returning.recordRejection(request(1), 3_000, 5_000, 0);

    assertThat(returning.awaitedTokens(KIND, "workspace")).isEqualTo(3_000);
    assertThat(returning.dueTokens(KIND, 4_000)).isZero();
    assertThat(returning.dueTokens(KIND, 4_900)).isEqualTo(3_000);

    returning.recordArrival(request(1), 5_000);

    assertThat(returning.awaitedTokens(KIND)).isZero();
    assertThat(returning.dueTokens(KIND, 5_000)).isZero();
  }

  @Test
  void no_memory_is_kept_for_clients_that_do_not_come_back() {
    for (int i = 1; i <= 100; i++) {
      returning.recordRejection(request(i), 3_000, 1_000, 0);
    }
    assertThat(returning.dueTokens(KIND, 1_000)).isEqualTo(300_000);

    assertThat(returning.dueTokens(KIND, 1_600)).isZero();
    returning.tick(6_000);
    returning.recordRejection(request(1), 3_000, 1_000, 6_000);

    // Few of them are expected now.
    assertThat(returning.awaitedTokens(KIND)).isLessThan(100);
    assertThat(returning.recordArrival(request(2), 6_000)).isFalse();
  }

  @Test
  void the_number_of_records_is_bounded() {
    for (int i = 1; i <= 20_001; i++) {
      returning.recordRejection(request(i), 1, 5_000, 0);
    }

    assertThat(returning.recordArrival(request(1), 5_000)).isFalse();
    assertThat(returning.recordArrival(request(2), 5_000)).isTrue();
    assertThat(returning.awaitedTokens(KIND)).isLessThanOrEqualTo(20_000);
  }
}
