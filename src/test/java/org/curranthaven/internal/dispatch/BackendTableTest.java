package org.curranthaven.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.curranthaven.internal.transport.wire.BackendRecord;
import org.junit.jupiter.api.Test;

class BackendTableTest {
  private final BackendTable table = new BackendTable();

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
  void a_late_registration_changes_nothing() {
    table.registered(record(5, true), 0);

    assertThat(table.registered(record(4, false), 10)).isNull();
    assertThat(table.all()).singleElement().matches(BackendRecord::getLeaving);
  }

  @Test
  void one_that_leaves_does_not_become_ready_again() {
    table.registered(record(5, true), 0);
    table.registered(record(6, false), 10);

    assertThat(table.all()).singleElement().matches(BackendRecord::getLeaving);
  }

  @Test
  void one_that_is_gone_is_not_brought_back_by_a_late_registration() {
    table.registered(record(5, false), 0);
    table.gone("i-1", 10);

    assertThat(table.registered(record(6, false), 20)).isNull();
    assertThat(table.all()).isEmpty();
  }

  @Test
  void one_that_is_gone_before_it_was_known_stays_away() {
    table.gone("i-1", 10);

    assertThat(table.registered(record(1, false), 20)).isNull();
  }

  @Test
  void a_registration_that_only_renews_is_no_change() {
    assertThat(table.registered(record(1, false), 0)).isNotNull();
    assertThat(table.registered(record(2, false), 1_000)).isNull();
    assertThat(table.takeSilent(1_500, 2_000)).isEmpty();
  }

  @Test
  void one_that_is_silent_is_dropped_and_may_come_back() {
    table.registered(record(1, false), 0);

    assertThat(table.takeSilent(5_000, 5_001)).containsExactly("i-1");
    assertThat(table.registered(record(2, false), 6_000)).isNotNull();
  }
}
