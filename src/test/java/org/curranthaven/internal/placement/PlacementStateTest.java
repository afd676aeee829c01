package org.curranthaven.internal.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PlacementStateTest {
  private final PlacementState state = new PlacementState();

  @Test
  void each_lease_holder_gets_a_higher_fencing_number() {
    long firstNumber = state.apply(new PlacementCommand.Acquire("a", "a-1")).fencingNumber();
    long secondNumber = state.apply(new PlacementCommand.Acquire("b", "b-1")).fencingNumber();

    assertThat(secondNumber).isGreaterThan(firstNumber);
    assertThat(state.apply(new PlacementCommand.Renew(firstNumber)).held()).isFalse();
    assertThat(state.apply(new PlacementCommand.Renew(secondNumber)).held()).isTrue();
  }

  @Test
  void a_repeated_acquisition_attempt_gets_the_same_fencing_number() {
    long firstNumber = state.apply(new PlacementCommand.Acquire("a", "a-1")).fencingNumber();

    assertThat(state.apply(new PlacementCommand.Acquire("a", "a-1")).fencingNumber())
        .isEqualTo(firstNumber);
  }

  @Test
  void the_weight_store_rate_limit_holds_across_a_change_of_lease_holder() {
    long firstNumber = state.apply(new PlacementCommand.Acquire("a", "a-1")).fencingNumber();
    for (int i = 0; i < PlacementState.LOAD_BURST; i++) {
      assertThat(state.apply(new PlacementCommand.RecordLoad(firstNumber, 0)).held()).isTrue();
    }
    long secondNumber = state.apply(new PlacementCommand.Acquire("b", "b-1")).fencingNumber();

    PlacementState.Result rejected = state.apply(new PlacementCommand.RecordLoad(secondNumber, 0));
    assertThat(rejected.held()).isFalse();
    assertThat(rejected.waitMillis()).isEqualTo(PlacementState.LOAD_INTERVAL_MILLIS);
    assertThat(
            state
                .apply(
                    new PlacementCommand.RecordLoad(
                        secondNumber, PlacementState.LOAD_INTERVAL_MILLIS))
                .held())
        .isTrue();
  }

  @Test
  void a_load_from_a_former_lease_holder_is_rejected() {
    long firstNumber = state.apply(new PlacementCommand.Acquire("a", "a-1")).fencingNumber();
    state.apply(new PlacementCommand.Acquire("b", "b-1"));

    assertThat(state.apply(new PlacementCommand.RecordLoad(firstNumber, 0)).held()).isFalse();
  }
}
