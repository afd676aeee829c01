package org.curranthaven.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a reserve that is too small, that outlasts its cause or that starves others. */
class UrgentReserveTest {
  private static final double CAPACITY_TOKENS = 1_000_000;
  private static final RequestKind URGENT = new RequestKind("engines", 0);
  private static final RequestKind OTHER = new RequestKind("engines", 2);

  private final UrgentReserve reserve = new UrgentReserve();

  /** Lets requests arrive for five seconds at an even rate; returns the time of the last one. */
  private long arrive(RequestKind kind, int perSecond, double memoryTokens, double heldMillis) {
    long atMillis = 0;
    for (int i = 0; i < 5 * perSecond; i++) {
      atMillis = i * 1_000L / perSecond;
      reserve.recordArrival(kind, memoryTokens, heldMillis, atMillis);
    }
    return atMillis;
  }

  @Test
  void the_need_is_arrival_rate_times_memory_times_time_held() {
    long nowMillis = arrive(URGENT, 100, 2_000, 500);

    // 50 requests at a time, and 1.5 standard deviations.
    assertThat(reserve.needOfMoreUrgent(OTHER, CAPACITY_TOKENS, nowMillis).memoryTokens())
        .isBetween(115_000.0, 125_000.0);
  }

  @Test
  void most_of_the_need_is_known_after_two_seconds() {
    for (int i = 0; i < 200; i++) {
      reserve.recordArrival(URGENT, 2_000, 500, i * 10L);
    }

    assertThat(reserve.needOfMoreUrgent(OTHER, CAPACITY_TOKENS, 2_000).memoryTokens())
        .isGreaterThan(85_000);
  }

  @Test
  void nothing_is_reserved_before_a_request_has_arrived_and_after_the_urgent_load_has_ended() {
    assertThat(reserve.needOfMoreUrgent(OTHER, CAPACITY_TOKENS, 0).isNone()).isTrue();

    long nowMillis = arrive(URGENT, 100, 2_000, 500);

    assertThat(reserve.needOfMoreUrgent(OTHER, CAPACITY_TOKENS, nowMillis + 8_000).isNone())
        .isTrue();
  }

  @Test
  void nothing_is_reserved_against_the_most_urgent_requests_or_for_another_service() {
    long nowMillis = arrive(URGENT, 100, 2_000, 500);

    assertThat(reserve.needOfMoreUrgent(URGENT, CAPACITY_TOKENS, nowMillis).isNone()).isTrue();
    assertThat(
            reserve.needOfMoreUrgent(new RequestKind("x", 2), CAPACITY_TOKENS, nowMillis).isNone())
        .isTrue();
  }

  @Test
  void urgent_requests_that_need_all_memory_leave_some_to_the_others() {
    arrive(OTHER, 100, 2_000, 5_000);
    long nowMillis = arrive(URGENT, 100, 2_000, 5_000);

    assertThat(reserve.needOfMoreUrgent(OTHER, CAPACITY_TOKENS, nowMillis).memoryTokens())
        .isLessThan(0.85 * CAPACITY_TOKENS);
  }

  @Test
  void memory_and_time_held_are_learnt_from_requests_that_ended() {
    long nowMillis = arrive(URGENT, 100, 2_000, 500);
    for (int i = 0; i < 100; i++) {
      reserve.recordEnd(URGENT, 4_000, 1_000);
    }

    assertThat(reserve.needOfMoreUrgent(OTHER, CAPACITY_TOKENS, nowMillis).memoryTokens())
        .isBetween(440_000.0, 470_000.0);
  }
}
