package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.curranthaven.internal.relay.BodyMemory.Reservation;
import org.curranthaven.internal.relay.BodyMemory.Use;
import org.junit.jupiter.api.Test;

/** Guards against bodies that together take more memory than a gateway has. */
class BodyMemoryTest {
  private static final int MEBIBYTE = 1024 * 1024;
  private static final long NOW_MILLIS = 5_000;
  private static final long TIME_LEFT_MILLIS = 20_000;

  private final BodyMemory memory = new BodyMemory(100L * MEBIBYTE);
  private final List<String> granted = new ArrayList<>();

  private Reservation reserve(Use use, int mebibytes, String name) {
    return memory.reserve(
        use, mebibytes * MEBIBYTE, NOW_MILLIS, TIME_LEFT_MILLIS, () -> granted.add(name));
  }

  @Test
  void large_bodies_wait_in_order_until_earlier_ones_have_ended() {
    Reservation first = reserve(Use.REQUEST, 40, "first");
    Reservation second = reserve(Use.REQUEST, 40, "second");
    Reservation third = reserve(Use.REQUEST, 10, "third");
    assertThat(first.isGranted()).isTrue();
    assertThat(second.isGranted()).isFalse();
    assertThat(third.isGranted()).isFalse();

    memory.release(first);

    assertThat(granted).containsExactly("second", "third");
    assertThat(memory.heldBytes()).isEqualTo(50L * MEBIBYTE);
  }

  @Test
  void a_small_body_does_not_wait_behind_large_ones() {
    reserve(Use.REQUEST, 60, "requests");
    reserve(Use.RESPONSE, 30, "responses");
    assertThat(reserve(Use.REQUEST, 1, "waits").isGranted()).isFalse();

    assertThat(memory.hold(Use.REQUEST, BodyMemory.SMALL_BODY_BYTES).isGranted()).isTrue();
  }

  @Test
  void large_requests_leave_room_for_responses() {
    reserve(Use.REQUEST, 60, "requests");
    assertThat(reserve(Use.REQUEST, 1, "waits").isGranted()).isFalse();

    assertThat(reserve(Use.RESPONSE, 30, "response").isGranted()).isTrue();
  }

  @Test
  void all_bodies_together_stay_within_the_bound() {
    reserve(Use.REQUEST, 60, "requests");
    reserve(Use.RESPONSE, 30, "responses");
    assertThat(memory.hold(Use.REQUEST, 10 * MEBIBYTE).isGranted()).isTrue();

    assertThat(memory.hold(Use.REQUEST, 1).isGranted()).isFalse();
    assertThat(memory.heldBytes()).isEqualTo(100L * MEBIBYTE);
  }

  @Test
  void a_body_waits_for_a_quarter_of_its_time() {
    reserve(Use.REQUEST, 60, "first");
    Reservation waiting = reserve(Use.REQUEST, 10, "waiting");
    long endMillis = NOW_MILLIS + TIME_LEFT_MILLIS / 4;

    assertThat(memory.giveUp(waiting, endMillis - 1)).isFalse();
    assertThat(memory.giveUp(waiting, endMillis)).isTrue();
  }

  /** Guards against a body that is rejected although it has its memory. */
  @Test
  void a_body_with_its_memory_is_not_given_up() {
    Reservation first = reserve(Use.REQUEST, 60, "first");
    Reservation second = reserve(Use.REQUEST, 10, "second");
    memory.release(first);

    assertThat(memory.giveUp(second, NOW_MILLIS + TIME_LEFT_MILLIS)).isFalse();
  }

  /** Guards against a body that waits for ever behind one that has been given up. */
  @Test
  void a_body_that_is_given_up_lets_those_behind_it_go_on() {
    reserve(Use.REQUEST, 50, "first");
    Reservation tooLarge = reserve(Use.REQUEST, 20, "too large");
    reserve(Use.REQUEST, 10, "behind");

    assertThat(memory.giveUp(tooLarge, NOW_MILLIS + TIME_LEFT_MILLIS)).isTrue();

    assertThat(granted).containsExactly("behind");
  }

  @Test
  void a_body_that_is_smaller_than_reserved_gives_the_rest_back() {
    Reservation first = reserve(Use.REQUEST, 60, "first");
    reserve(Use.REQUEST, 50, "second");

    memory.shrink(first, 10 * MEBIBYTE);

    assertThat(granted).containsExactly("second");
    memory.release(first);
    assertThat(memory.heldBytes()).isEqualTo(50L * MEBIBYTE);
  }

  /** Guards against memory that is given back twice when a connection ends at the same time. */
  @Test
  void releasing_twice_gives_the_memory_back_once() {
    Reservation first = reserve(Use.REQUEST, 40, "first");
    reserve(Use.REQUEST, 20, "second");

    memory.release(first);
    memory.release(first);

    assertThat(memory.heldBytes()).isEqualTo(20L * MEBIBYTE);
  }

  @Test
  void a_body_above_the_whole_bound_can_never_be_held() {
    assertThat(memory.canEverHold(Use.REQUEST, 61 * MEBIBYTE)).isFalse();
    assertThat(memory.canEverHold(Use.REQUEST, 60 * MEBIBYTE)).isTrue();
  }
}
