package org.curranthaven.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.curranthaven.internal.transport.wire.RetryCount;
import org.junit.jupiter.api.Test;

class RetryAccountsTest {
  private static final RetryLimits LIMITS = new RetryLimits(0.2, 50, 10_000);
  private static final long LONG_MEMORY_MILLIS = 60_000;
  private static final int GATEWAYS = 2;

  private final SchedulerRetries scheduler = new SchedulerRetries();

  private void start(long nowMillis) {
    scheduler.start(true, nowMillis);
  }

  private void restore(String gateway, int retries, long memoryMillis, long nowMillis) {
    scheduler.restore(
        gateway,
        List.of(RetryCount.newBuilder().setService("plain").setRetries(retries).build()),
        memoryMillis,
        GATEWAYS,
        LIMITS,
        nowMillis);
  }

  private int allowed(String gateway, long nowMillis) {
    return allowed(scheduler, gateway, nowMillis);
  }

  private static int allowed(RetryAccounts accounts, String gateway, long nowMillis) {
    int allowed = 0;
    while (accounts.tryRetry(new RequestId(gateway, allowed), "plain", LIMITS, nowMillis)) {
      accounts.placed(new RequestId(gateway, allowed), LIMITS, nowMillis);
      allowed++;
    }
    return allowed;
  }

  @Test
  void a_scheduler_that_all_gateways_told_allows_what_they_have_not_sent() {
    start(20_000);
    restore("g1", 25, LONG_MEMORY_MILLIS, 20_010);
    restore("g2", 5, LONG_MEMORY_MILLIS, 20_010);

    assertThat(allowed("g1", 20_020)).isEqualTo(40 - 30);
  }

  @Test
  void a_scheduler_that_lacks_a_gateway_allows_the_others_their_reserve() {
    start(20_000);
    restore("g1", 0, LONG_MEMORY_MILLIS, 20_010);

    assertThat(allowed("g1", 20_020)).isEqualTo(5);
    assertThat(allowed("g2", 20_020)).isZero();
    assertThat(scheduler.isOnReserve(new RequestId("g1", 0))).isTrue();
  }

  /** Guards against a retry whose placement is told again and then counts for the shared part. */
  @Test
  void a_retry_stays_on_the_reserve_of_its_gateway_until_its_request_ends() {
    start(20_000);
    restore("g1", 0, LONG_MEMORY_MILLIS, 20_010);
    RequestId retry = new RequestId("g1", 0);
    scheduler.tryRetry(retry, "plain", LIMITS, 20_020);

    assertThat(scheduler.isOnReserve(retry)).isTrue();
    assertThat(scheduler.isOnReserve(retry)).isTrue();
    scheduler.requestEnded(retry);
    assertThat(scheduler.isOnReserve(retry)).isFalse();
  }

  /** Guards against a whole allowance for the first gateway that finds a new leader. */
  @Test
  void a_scheduler_lacks_the_gateways_that_were_known_before_it_started() {
    start(20_000);
    scheduler.restore("g1", List.of(), LONG_MEMORY_MILLIS, 24, LIMITS, 20_010);

    assertThat(allowed("g1", 20_020)).isZero();
  }

  @Test
  void a_scheduler_knows_all_once_it_has_decided_for_a_window() {
    start(20_000);

    assertThat(allowed("g1", 30_200)).isEqualTo(40);
  }

  @Test
  void a_scheduler_of_a_new_fleet_knows_all() {
    scheduler.start(false, 20_000);

    assertThat(allowed("g1", 20_010)).isEqualTo(40);
  }

  @Test
  void a_scheduler_remembers_what_a_restarted_gateway_sent_before() {
    start(20_000);
    restore("g1", 30, LONG_MEMORY_MILLIS, 20_010);
    restore("g2", 0, LONG_MEMORY_MILLIS, 20_010);
    restore("g1", 0, 500, 22_000);

    assertThat(allowed("g1", 22_010)).isEqualTo(10);
  }

  @Test
  void a_gateway_that_restarted_before_a_scheduler_started_may_have_forgotten_retries() {
    start(20_000);
    restore("g1", 0, 3_000, 20_010);
    restore("g2", 0, LONG_MEMORY_MILLIS, 20_010);

    assertThat(allowed("g1", 20_020)).isZero();
    assertThat(allowed("g2", 20_020)).isEqualTo(5);
    assertThat(allowed("g1", 27_200)).isEqualTo(40 - 5);
  }

  @Test
  void a_report_replaces_what_the_scheduler_counted() {
    start(20_000);
    restore("g1", 0, LONG_MEMORY_MILLIS, 20_010);
    restore("g2", 0, LONG_MEMORY_MILLIS, 20_010);
    assertThat(allowed("g1", 20_020)).isEqualTo(40);

    restore("g1", 12, LONG_MEMORY_MILLIS, 20_100);

    assertThat(allowed("g2", 20_110)).isEqualTo(40 - 12);
  }

  @Test
  void reported_requests_count_once_however_often_they_are_reported() {
    GatewayRetries gateway = new GatewayRetries(0);
    for (int i = 0; i < 100; i++) {
      gateway.requestArrived("plain", LIMITS, 300 + i);
    }
    start(0);
    for (long nowMillis = 1_000; nowMillis <= 9_000; nowMillis += 130) {
      scheduler.restore(
          "g1", gateway.export(nowMillis), gateway.memoryMillis(nowMillis), 1, LIMITS, nowMillis);
    }

    assertThat(scheduler.describe(9_000)).contains("0 retries of 100 requests");
  }

  @Test
  void a_gateway_without_scheduler_has_its_part_of_the_reserve_however_often_it_loses_one() {
    GatewayRetries gateway = new GatewayRetries(0);
    gateway.recordGateways(4);
    gateway.recordGateways(1);
    for (int i = 0; i < 100; i++) {
      gateway.requestArrived("plain", LIMITS, 19_000);
    }

    assertThat(allowed(gateway, "g1", 20_000)).isEqualTo(6);
    assertThat(allowed(gateway, "g1", 25_000)).isZero();
    assertThat(allowed(gateway, "g1", 30_200)).isEqualTo(2);
  }

  @Test
  void a_gateway_that_has_just_started_has_forgotten_what_it_used_of_the_reserve() {
    GatewayRetries gateway = new GatewayRetries(15_000);

    assertThat(allowed(gateway, "g1", 20_000)).isZero();
    assertThat(allowed(gateway, "g1", 25_200)).isEqualTo(10);
  }

  @Test
  void what_a_gateway_reports_is_short() {
    GatewayRetries gateway = new GatewayRetries(0);
    for (long nowMillis = 0; nowMillis < 30_000; nowMillis += 10) {
      gateway.requestArrived("plain", LIMITS, nowMillis);
      gateway.retryPlaced("plain", false, LIMITS, nowMillis);
    }

    List<RetryCount> counts = gateway.export(30_000);

    assertThat(counts).hasSizeLessThanOrEqualTo(21);
    assertThat(counts.stream().mapToInt(RetryCount::getRetries).sum()).isBetween(1_000, 1_010);
  }

  @Test
  void a_retry_that_waits_takes_up_room_until_it_is_placed_and_for_a_window_from_then_on() {
    scheduler.start(false, 0);
    for (int i = 0; i < 40; i++) {
      assertThat(scheduler.tryRetry(new RequestId("g2", i), "plain", LIMITS, 20_000)).isTrue();
    }
    assertThat(allowed("g1", 34_000)).isZero();

    scheduler.placed(new RequestId("g2", 0), LIMITS, 34_000);
    assertThat(allowed("g1", 43_000)).isZero();
    assertThat(allowed("g1", 44_200)).isEqualTo(1);
  }

  @Test
  void a_retry_that_is_rejected_or_cancelled_before_it_is_placed_leaves_its_room_to_others() {
    scheduler.start(false, 0);
    for (int i = 0; i < 40; i++) {
      scheduler.tryRetry(new RequestId("g2", i), "plain", LIMITS, 20_000);
    }
    scheduler.requestEnded(new RequestId("g2", 7));

    assertThat(allowed("g1", 20_010)).isEqualTo(1);
  }
}
