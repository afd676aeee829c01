package org.curranthaven.internal.catalog;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against orders that are lost, counted twice, or accepted for a misspelt data centre. */
class EvacuationStateTest {
  private final EvacuationState state = new EvacuationState();

  @Test
  void each_order_and_withdrawal_that_changes_something_gets_a_higher_revision() {
    state.recordKnown("east");

    assertThat(state.evacuate("east", null).state().revision()).isEqualTo(1);
    assertThat(state.endEvacuation("east", null).state().revision()).isEqualTo(2);
    assertThat(state.snapshot().evacuated()).isEmpty();
  }

  @Test
  void an_order_that_is_sent_again_is_accepted_and_changes_nothing() {
    state.recordKnown("east");
    EvacuationState.Result first = state.evacuate("east", null);

    assertThat(state.evacuate("east", null)).isEqualTo(first);
  }

  @Test
  void a_withdrawal_that_is_sent_again_is_accepted_and_changes_nothing() {
    state.recordKnown("east");
    state.evacuate("east", null);
    EvacuationState.Result first = state.endEvacuation("east", null);

    assertThat(state.endEvacuation("east", null)).isEqualTo(first);
  }

  @Test
  void of_an_order_and_a_withdrawal_the_later_one_is_in_force() {
    state.recordKnown("east");
    state.endEvacuation("east", null);
    state.evacuate("east", null);

    assertThat(state.snapshot().evacuated()).containsExactly("east");
  }

  @Test
  void an_unknown_data_centre_is_rejected_with_the_known_ones() {
    state.recordKnown("west");
    state.recordKnown("east");

    EvacuationState.Result result = state.evacuate("esat", null);

    assertThat(result.accepted()).isFalse();
    assertThat(result.state())
        .isEqualTo(new EvacuationState.Snapshot(0, List.of(), List.of("east", "west"), Map.of()));
    assertThat(state.endEvacuation("esat", null).accepted()).isFalse();
  }

  @Test
  void any_data_centre_is_accepted_while_none_is_known() {
    assertThat(state.evacuate("east", null).accepted()).isTrue();
  }

  /** Guards against an order from before the first registration that can not be withdrawn. */
  @Test
  void an_order_for_a_data_centre_that_never_became_known_can_be_repeated_and_withdrawn() {
    state.evacuate("esat", null);
    state.recordKnown("east");

    assertThat(state.evacuate("esat", null).accepted()).isTrue();
    assertThat(state.endEvacuation("esat", null).accepted()).isTrue();
    assertThat(state.evacuate("esat", null).accepted()).isFalse();
  }

  @Test
  void a_restored_snapshot_replaces_the_state() {
    state.recordKnown("east");
    state.recordKnown("west");
    state.evacuate("west", null);
    EvacuationState other = new EvacuationState();
    other.evacuate("north", null);

    other.restore(state.snapshot());

    assertThat(other.snapshot()).isEqualTo(state.snapshot());
  }

  @Test
  void an_order_is_accepted_only_if_no_other_was_since_the_revision_that_it_names() {
    state.recordKnown("east");
    state.evacuate("east", 0L);
    state.endEvacuation("east", 1L);
    state.evacuate("east", 2L);

    assertThat(state.endEvacuation("east", 2L).accepted()).isFalse();
    assertThat(state.endEvacuation("east", 4L).accepted()).isFalse();
    assertThat(state.snapshot().evacuated()).containsExactly("east");
    assertThat(state.endEvacuation("east", 3L).accepted()).isTrue();
    assertThat(state.snapshot().evacuated()).isEmpty();
  }

  @Test
  void an_order_that_names_its_revision_counts_even_if_it_changes_nothing() {
    state.recordKnown("east");
    state.evacuate("east", 0L);

    assertThat(state.evacuate("east", 1L).state().revision()).isEqualTo(2);
    assertThat(state.endEvacuation("east", 1L).accepted()).isFalse();
  }

  @Test
  void a_read_changes_nothing() {
    state.recordKnown("east");
    state.evacuate("east", 0L);
    EvacuationState.Snapshot before = state.snapshot();

    assertThat(state.read().state()).isEqualTo(before);
    assertThat(state.snapshot()).isEqualTo(before);
  }
}
