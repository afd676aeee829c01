package org.curranthaven.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.curranthaven.internal.gateway.StreamRelay.Action;
import org.curranthaven.internal.gateway.StreamRelay.Event;
import org.junit.jupiter.api.Test;

class StreamRelayTest {
  private static StreamRelay openedRelay(boolean streamed, boolean repeatable, boolean canResume) {
    StreamRelay relay = new StreamRelay(streamed, repeatable);
    relay.handle(new Event.Opened("g", canResume));
    return relay;
  }

  private static Action handleToken(StreamRelay relay, int index) {
    return relay.handle(new Event.Token("g", index));
  }

  @Test
  void tokens_in_order_are_delivered_once() {
    StreamRelay relay = openedRelay(true, true, true);

    assertThat(handleToken(relay, 0)).isEqualTo(Action.DELIVER);
    assertThat(handleToken(relay, 1)).isEqualTo(Action.DELIVER);
    assertThat(handleToken(relay, 1)).isEqualTo(Action.DROP);
    assertThat(handleToken(relay, 0)).isEqualTo(Action.DROP);
    assertThat(relay.nextIndex()).isEqualTo(2);
  }

  @Test
  void missing_token_causes_a_resumption_and_is_never_skipped() {
    StreamRelay relay = openedRelay(true, true, true);
    handleToken(relay, 0);

    assertThat(handleToken(relay, 2)).isEqualTo(Action.RESUME);
    assertThat(relay.nextIndex()).isEqualTo(1);
  }

  @Test
  void token_of_another_generation_is_dropped() {
    StreamRelay relay = openedRelay(true, true, true);

    assertThat(relay.handle(new Event.Token("other", 0))).isEqualTo(Action.DROP);
  }

  @Test
  void stream_without_progress_is_resumed_a_limited_number_of_times_before_fail_over() {
    StreamRelay relay = openedRelay(true, true, true);
    handleToken(relay, 0);

    for (int i = 0; i < StreamRelay.MAX_RESUMPTIONS_WITHOUT_PROGRESS; i++) {
      assertThat(relay.handle(new Event.TokenTimeout())).isEqualTo(Action.RESUME);
    }

    assertThat(relay.handle(new Event.TokenTimeout())).isEqualTo(Action.TAKE_OVER);
  }

  @Test
  void engine_loss_before_the_first_token_restarts_the_request() {
    StreamRelay relay = openedRelay(true, true, true);

    assertThat(relay.handle(new Event.EngineLost())).isEqualTo(Action.START_AGAIN);
  }

  @Test
  void engine_loss_after_a_delivered_token_never_starts_another_generation() {
    StreamRelay relay = openedRelay(true, true, true);
    handleToken(relay, 0);

    assertThat(relay.handle(new Event.EngineLost())).isEqualTo(Action.TAKE_OVER);
    assertThat(relay.handle(new Event.Rejected())).isEqualTo(Action.FAIL_LOST);
  }

  @Test
  void non_streamed_response_can_be_restarted_after_tokens_arrived() {
    StreamRelay relay = openedRelay(false, true, true);
    handleToken(relay, 0);

    assertThat(relay.handle(new Event.EngineLost())).isEqualTo(Action.START_AGAIN);
  }

  @Test
  void non_repeatable_request_is_not_restarted_after_engine_loss() {
    StreamRelay relay = openedRelay(false, false, true);

    assertThat(relay.handle(new Event.EngineLost())).isEqualTo(Action.FAIL_UNKNOWN);
  }

  @Test
  void non_repeatable_request_is_restarted_after_a_rejection() {
    StreamRelay relay = openedRelay(false, false, true);

    assertThat(relay.handle(new Event.Rejected())).isEqualTo(Action.START_AGAIN);
  }
}
