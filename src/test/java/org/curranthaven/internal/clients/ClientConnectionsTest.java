package org.curranthaven.internal.clients;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against a bound that is met at the cost of callers that behave. */
class ClientConnectionsTest {
  private static final long MAX_BYTES = 1_000_000;
  private static final long HEAD_BYTES = 4_000;

  private final List<String> closed = new ArrayList<>();
  private final ClientConnections connections =
      ClientConnections.of(Map.of(Door.CALLERS, 3, Door.READINESS, 1), MAX_BYTES);

  private ClientConnections.Account open(Door door, String name, long nowMillis) {
    return connections.open(door, reason -> closed.add(name + " " + reason), nowMillis);
  }

  private ClientConnections.Account open(String name, long nowMillis) {
    return open(Door.CALLERS, name, nowMillis);
  }

  @Test
  void the_connection_that_has_been_silent_for_longest_is_closed_for_a_new_one() {
    open("silent since 10", 10);
    open("silent since 5", 5);
    open("served", 0).idle(1);

    open("new", 20);

    assertThat(closed).containsExactly("silent since 5 TOO_MANY_CONNECTIONS");
    assertThat(connections.count(Door.CALLERS)).isEqualTo(3);
  }

  @Test
  void a_request_in_progress_is_not_closed_for_a_new_connection() {
    for (int number = 0; number < 3; number++) {
      open("busy", number).admit(number);
    }

    open("new", 20);

    assertThat(closed).containsExactly("new TOO_MANY_CONNECTIONS");
  }

  @Test
  void connections_at_one_address_are_not_closed_for_those_at_another() {
    open(Door.READINESS, "balancer", 0);
    open("caller", 1);
    open("caller", 2);

    open("caller", 3);

    assertThat(closed).isEmpty();
  }

  @Test
  void the_incomplete_request_that_holds_most_is_closed_when_memory_is_used_up() {
    ClientConnections.Account large = open("large", 0);
    ClientConnections.Account larger = open("larger", 1);
    assertThat(large.hold(MAX_BYTES / 2 - 100)).isTrue();
    assertThat(larger.hold(MAX_BYTES / 2)).isTrue();

    assertThat(open("ordinary", 2).hold(HEAD_BYTES)).isTrue();

    assertThat(closed).containsExactly("larger MEMORY_IN_USE");
  }

  @Test
  void a_request_that_holds_more_than_all_others_is_refused_itself() {
    ClientConnections.Account busy = open("busy", 0);
    assertThat(busy.hold(MAX_BYTES / 2)).isTrue();
    open("ordinary", 1).hold(HEAD_BYTES);
    assertThat(busy.admit(2)).isFalse();

    assertThat(open("largest", 3).hold(MAX_BYTES)).isFalse();

    assertThat(connections.heldBytes()).isEqualTo(MAX_BYTES / 2 + HEAD_BYTES);
  }

  @Test
  void costly_requests_in_progress_leave_room_for_ordinary_ones() {
    ClientConnections.Account costly = open("costly", 0);
    ClientConnections.Account second = open("second", 0);
    costly.hold(200_000);
    second.hold(200_000);

    assertThat(costly.admit(1)).isTrue();
    assertThat(second.admit(1)).isFalse();
    ClientConnections.Account ordinary = open("ordinary", 1);
    ordinary.hold(HEAD_BYTES);
    assertThat(ordinary.admit(1)).isTrue();
    costly.idle(2);
    assertThat(second.admit(3)).isTrue();
  }

  @Test
  void a_large_body_that_sends_nothing_yields_its_memory_and_one_that_is_not_read_does_not() {
    ClientConnections.Account stalled = open("stalled", 0);
    stalled.headComplete(0);
    stalled.reserved(500, 0);
    ClientConnections.Account unread = open("unread", 0);
    unread.headComplete(0);
    unread.reserved(900, 0);
    unread.read(false, 0);

    connections.closeStalled(2_999);
    assertThat(closed).isEmpty();
    connections.closeStalled(3_000);

    assertThat(closed).containsExactly("stalled STALLED");
  }

  @Test
  void a_closed_connection_holds_nothing() {
    ClientConnections.Account account = open("a", 0);
    account.hold(HEAD_BYTES);

    account.close();
    account.close();

    assertThat(connections.heldBytes()).isZero();
    assertThat(connections.count(Door.CALLERS)).isZero();
    assertThat(account.hold(HEAD_BYTES)).isFalse();
  }
}
