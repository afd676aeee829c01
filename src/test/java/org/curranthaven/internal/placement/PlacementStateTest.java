package org.curranthaven.internal.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PlacementStateTest {
  private final PlacementState state = new PlacementState();

  @Test
  void each_holder_gets_a_higher_fencing_number() {
    long first = state.apply(new PlacementCommand.Acquire("a", "a-1")).fencingNumber();
    long second = state.apply(new PlacementCommand.Acquire("b", "b-1")).fencingNumber();

    assertThat(second).isGreaterThan(first);
    assertThat(state.apply(new PlacementCommand.Renew(first)).held()).isFalse();
    assertThat(state.apply(new PlacementCommand.Renew(second)).held()).isTrue();
  }

  @Test
  void an_attempt_whose_answer_was_lost_gets_the_same_number() {
    long first = state.apply(new PlacementCommand.Acquire("a", "a-1")).fencingNumber();

    assertThat(state.apply(new PlacementCommand.Acquire("a", "a-1")).fencingNumber())
        .isEqualTo(first);
  }

  @Test
  void the_weight_stores_rate_is_kept_across_a_change_of_holder() {
    long first = state.apply(new PlacementCommand.Acquire("a", "a-1")).fencingNumber();
    for (int i = 0; i < PlacementState.LOAD_BURST; i++) {
      assertThat(state.apply(new PlacementCommand.RecordLoad(first, 0)).held()).isTrue();
    }
    long second = state.apply(new PlacementCommand.Acquire("b", "b-1")).fencingNumber();

    PlacementState.Result refused = state.apply(new PlacementCommand.RecordLoad(second, 0));
    assertThat(refused.held()).isFalse();
    assertThat(refused.waitMillis()).isEqualTo(PlacementState.LOAD_INTERVAL_MILLIS);
    assertThat(
            state
                .apply(new PlacementCommand.RecordLoad(second, PlacementState.LOAD_INTERVAL_MILLIS))
                .held())
        .isTrue();
  }

  @Test
  void a_load_of_an_old_holder_is_refused() {
    long first = state.apply(new PlacementCommand.Acquire("a", "a-1")).fencingNumber();
    state.apply(new PlacementCommand.Acquire("b", "b-1"));

    assertThat(state.apply(new PlacementCommand.RecordLoad(first, 0)).held()).isFalse();
  }
}
