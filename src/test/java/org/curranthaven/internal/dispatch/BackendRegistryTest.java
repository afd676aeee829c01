package org.curranthaven.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.curranthaven.internal.transport.wire.BackendRecord;
import org.junit.jupiter.api.Test;

class BackendRegistryTest {
  private final BackendRegistry registry = new BackendRegistry();

  private static BackendRecord record(long sequence, boolean leaving) {
    return BackendRecord.newBuilder()
        .setId("i-1")
        .setService("s")
        .setAddress("10.0.0.1:80")
        .setSlots(4)
        .setSequence(sequence)
        .setLeaving(leaving)
        .build();
  }

  @Test
  void a_registration_with_an_older_sequence_number_is_ignored() {
    registry.register(record(5, true), 0);

    assertThat(registry.register(record(4, false), 10)).isNull();
    assertThat(registry.all()).singleElement().matches(BackendRecord::getLeaving);
  }

  @Test
  void a_leaving_backend_server_stays_leaving_after_a_newer_registration() {
    registry.register(record(5, true), 0);
    registry.register(record(6, false), 10);

    assertThat(registry.all()).singleElement().matches(BackendRecord::getLeaving);
  }

  @Test
  void a_removed_backend_server_is_not_restored_by_a_delayed_registration() {
    registry.register(record(5, false), 0);
    registry.remove("i-1", 10);

    assertThat(registry.register(record(6, false), 20)).isNull();
    assertThat(registry.all()).isEmpty();
  }

  @Test
  void a_backend_server_removed_before_its_first_registration_is_not_registered() {
    registry.remove("i-1", 10);

    assertThat(registry.register(record(1, false), 20)).isNull();
  }

  @Test
  void a_renewed_registration_is_not_reported_as_a_change() {
    assertThat(registry.register(record(1, false), 0)).isNotNull();
    assertThat(registry.register(record(2, false), 1_000)).isNull();
    assertThat(registry.removeExpired(1_500, 2_000)).isEmpty();
  }

  @Test
  void a_backend_server_that_stops_registering_expires_and_may_register_again() {
    registry.register(record(1, false), 0);

    assertThat(registry.removeExpired(5_000, 5_001)).containsExactly("i-1");
    assertThat(registry.register(record(2, false), 6_000)).isNotNull();
  }

  @Test
  void a_backend_server_that_stated_that_it_leaves_stays_leaving_whatever_it_registers() {
    registry.register(record(1, false), 0);

    assertThat(registry.recordLeaving("i-1", 10)).matches(BackendRecord::getLeaving);
    assertThat(registry.recordLeaving("i-1", 20)).isNull();
    registry.register(record(2, false), 30);
    assertThat(registry.all()).singleElement().matches(BackendRecord::getLeaving);
    registry.removeExpired(5_000, 6_000);
    registry.register(record(3, false), 7_000);
    assertThat(registry.all()).singleElement().matches(BackendRecord::getLeaving);
  }

  @Test
  void a_new_leader_learns_from_any_gateway_that_a_backend_server_leaves() {
    registry.restore(record(5, false), 0);

    assertThat(registry.restore(record(5, true), 10)).matches(BackendRecord::getLeaving);
  }

  private static BackendRecord start(long incarnation, long sequence) {
    return record(sequence, false).toBuilder()
        .setId("i-1@" + incarnation)
        .setInstance("i-1")
        .setIncarnation(incarnation)
        .build();
  }

  /** Guards against a restarted server that is ignored until its count passes that of before. */
  @Test
  void a_server_that_restarts_under_its_name_is_registered_although_its_count_starts_anew() {
    registry.register(start(100, 50), 0);

    assertThat(registry.register(start(200, 1), 10)).isNotNull();
    assertThat(registry.earlierStarts(start(200, 1))).containsExactly("i-1@100");
  }

  /** Guards against a delayed message that brings an ended server back. */
  @Test
  void a_delayed_registration_of_an_earlier_start_is_ignored() {
    registry.register(start(200, 1), 0);

    assertThat(registry.register(start(100, 51), 10)).isNull();
    assertThat(registry.all()).extracting(BackendRecord::getId).containsExactly("i-1@200");
  }

  @Test
  void a_server_that_leaves_for_good_does_not_keep_its_next_start_from_registering() {
    registry.register(start(100, 1), 0);
    registry.recordLeaving("i-1@100", 10);
    assertThat(registry.registeredId("i-1")).isEqualTo("i-1@100");
    registry.remove("i-1@100", 20);

    assertThat(registry.register(start(200, 1), 30))
        .isNotNull()
        .satisfies(current -> assertThat(current.getLeaving()).isFalse());
  }

  private static BackendRecord cold(long sequence, long leftMillis) {
    return record(sequence, false).toBuilder().setColdLeftMillis(leftMillis).build();
  }

  @Test
  void a_backend_server_that_is_cold_again_or_for_longer_is_reported_as_a_change() {
    registry.register(cold(1, 0), 0);

    assertThat(registry.register(cold(2, 10), 1_200)).isNotNull();
    assertThat(registry.register(cold(3, 3_000), 2_400)).isNotNull();
    assertThat(registry.register(cold(4, 3_000), 3_600)).isNotNull();
  }

  @Test
  void a_cold_time_that_passes_as_stated_is_not_reported_as_a_change() {
    registry.register(cold(1, 3_000), 0);

    // The second registration was on its way for 15 ms longer than the first one.
    assertThat(registry.register(cold(2, 1_800), 1_215)).isNull();
    assertThat(registry.register(cold(3, 600), 2_400)).isNull();
    assertThat(registry.register(cold(4, 0), 3_600)).isNull();
  }

  @Test
  void a_backend_server_that_is_warm_earlier_than_stated_is_reported_as_a_change() {
    registry.register(cold(1, 3_000), 0);

    assertThat(registry.register(cold(2, 0), 1_200)).isNotNull();
  }
}
