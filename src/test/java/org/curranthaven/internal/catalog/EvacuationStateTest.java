package org.curranthaven.internal.catalog;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against orders that are lost, counted twice, or accepted for a misspelt data centre. */
class EvacuationStateTest {
  private final EvacuationState state = new EvacuationState();

  @Test
  void each_order_and_withdrawal_that_changes_something_gets_a_higher_revision() {
    state.recordKnown("east");

    assertThat(state.evacuate("east").state().revision()).isEqualTo(1);
    assertThat(state.endEvacuation("east").state().revision()).isEqualTo(2);
    assertThat(state.snapshot().evacuated()).isEmpty();
  }

  @Test
  void an_order_that_is_sent_again_is_accepted_and_changes_nothing() {
    state.recordKnown("east");
    EvacuationState.Result first = state.evacuate("east");

    assertThat(state.evacuate("east")).isEqualTo(first);
  }

  @Test
  void a_withdrawal_that_is_sent_again_is_accepted_and_changes_nothing() {
    state.recordKnown("east");
    state.evacuate("east");
    EvacuationState.Result first = state.endEvacuation("east");

    assertThat(state.endEvacuation("east")).isEqualTo(first);
  }

  @Test
  void of_an_order_and_a_withdrawal_the_later_one_is_in_force() {
    state.recordKnown("east");
    state.endEvacuation("east");
    state.evacuate("east");

    assertThat(state.snapshot().evacuated()).containsExactly("east");
  }

  @Test
  void an_unknown_data_centre_is_rejected_with_the_known_ones() {
    state.recordKnown("west");
    state.recordKnown("east");

    EvacuationState.Result result = state.evacuate("esat");

    assertThat(result.accepted()).isFalse();
    assertThat(result.state())
        .isEqualTo(new EvacuationState.Snapshot(0, List.of(), List.of("east", "west")));
    assertThat(state.endEvacuation("esat").accepted()).isFalse();
  }

  @Test
  void any_data_centre_is_accepted_while_none_is_known() {
    assertThat(state.evacuate("east").accepted()).isTrue();
  }

  /** Guards against an order from before the first registration that can not be withdrawn. */
  @Test
  void an_order_for_a_data_centre_that_never_became_known_can_be_repeated_and_withdrawn() {
    state.evacuate("esat");
    state.recordKnown("east");

    assertThat(state.evacuate("esat").accepted()).isTrue();
    assertThat(state.endEvacuation("esat").accepted()).isTrue();
    assertThat(state.evacuate("esat").accepted()).isFalse();
  }

  @Test
  void a_restored_snapshot_replaces_the_state() {
    state.recordKnown("east");
    state.recordKnown("west");
    state.evacuate("west");
    EvacuationState other = new EvacuationState();
    other.evacuate("north");

    other.restore(state.snapshot());

    assertThat(other.snapshot()).isEqualTo(state.snapshot());
  }
}
