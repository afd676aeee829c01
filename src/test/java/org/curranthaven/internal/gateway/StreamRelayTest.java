package org.curranthaven.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.curranthaven.internal.gateway.StreamRelay.Action;
import org.curranthaven.internal.gateway.StreamRelay.Event;
import org.junit.jupiter.api.Test;

class StreamRelayTest {
  private static StreamRelay opened(boolean streamed, boolean repeatable, boolean canResume) {
    StreamRelay relay = new StreamRelay(streamed, repeatable);
    relay.handle(new Event.Opened("g", canResume));
    return relay;
  }

  private static Action token(StreamRelay relay, int index) {
    return relay.handle(new Event.Token("g", index));
  }

  @Test
  void tokens_in_order_are_delivered_once() {
    StreamRelay relay = opened(true, true, true);

    assertThat(token(relay, 0)).isEqualTo(Action.DELIVER);
    assertThat(token(relay, 1)).isEqualTo(Action.DELIVER);
    assertThat(token(relay, 1)).isEqualTo(Action.DROP);
    assertThat(token(relay, 0)).isEqualTo(Action.DROP);
    assertThat(relay.nextIndex()).isEqualTo(2);
  }

  @Test
  void a_gap_is_asked_for_again_and_never_papered_over() {
    StreamRelay relay = opened(true, true, true);
    token(relay, 0);

    assertThat(token(relay, 2)).isEqualTo(Action.RESUME);
    assertThat(relay.nextIndex()).isEqualTo(1);
  }

  @Test
  void a_token_of_another_generation_is_dropped() {
    StreamRelay relay = opened(true, true, true);

    assertThat(relay.handle(new Event.Token("other", 0))).isEqualTo(Action.DROP);
  }

  @Test
  void a_silent_stream_is_resumed_and_given_up_only_without_progress() {
    StreamRelay relay = opened(true, true, true);
    token(relay, 0);

    for (int i = 0; i < StreamRelay.MAX_RESUMPTIONS_WITHOUT_PROGRESS; i++) {
      assertThat(relay.handle(new Event.TokenTimeout())).isEqualTo(Action.RESUME);
    }

    assertThat(relay.handle(new Event.TokenTimeout())).isEqualTo(Action.TAKE_OVER);
  }

  @Test
  void a_lost_engine_before_the_first_token_means_starting_again() {
    StreamRelay relay = opened(true, true, true);

    assertThat(relay.handle(new Event.EngineLost())).isEqualTo(Action.START_AGAIN);
  }

  @Test
  void a_lost_engine_after_a_delivered_token_is_never_followed_by_another_generation() {
    StreamRelay relay = opened(true, true, true);
    token(relay, 0);

    assertThat(relay.handle(new Event.EngineLost())).isEqualTo(Action.TAKE_OVER);
    assertThat(relay.handle(new Event.Rejected())).isEqualTo(Action.FAIL_LOST);
  }

  @Test
  void an_answer_that_is_held_whole_can_always_start_again() {
    StreamRelay relay = opened(false, true, true);
    token(relay, 0);

    assertThat(relay.handle(new Event.EngineLost())).isEqualTo(Action.START_AGAIN);
  }

  @Test
  void a_request_that_may_not_be_repeated_is_never_started_again_once_sent() {
    StreamRelay relay = opened(false, false, true);

    assertThat(relay.handle(new Event.EngineLost())).isEqualTo(Action.FAIL_UNKNOWN);
  }

  @Test
  void a_request_that_may_not_be_repeated_is_started_again_after_a_refusal() {
    StreamRelay relay = opened(false, false, true);

    assertThat(relay.handle(new Event.Rejected())).isEqualTo(Action.START_AGAIN);
  }
}
