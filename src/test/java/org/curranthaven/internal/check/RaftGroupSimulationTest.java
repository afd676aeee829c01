package org.curranthaven.internal.check;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Runs simulated Raft groups over fixed seeds, with and without injected faults. */
class RaftGroupSimulationTest {
  private static final int SEED_COUNT = 120;
  private static final int ACTION_COUNT = 6_000;

  @Test
  void three_replicas_keep_every_invariant() {
    for (long seed = 1; seed <= SEED_COUNT; seed++) {
      assertThat(
              ActionSequences.findViolation(
                  seed, 3, ActionSequences.draw(seed, ACTION_COUNT), InjectedFault.NONE))
          .as("seed " + seed)
          .isNull();
    }
  }

  @Test
  void five_replicas_keep_every_invariant() {
    for (long seed = 1; seed <= SEED_COUNT / 2; seed++) {
      assertThat(
              ActionSequences.findViolation(
                  seed, 5, ActionSequences.draw(seed, ACTION_COUNT), InjectedFault.NONE))
          .as("seed " + seed)
          .isNull();
    }
  }

  @Test
  void a_late_snapshot_does_not_discard_acknowledged_entries_after_it() {
    long seed = 4_166;

    assertThat(
            ActionSequences.findViolation(
                seed, 5, ActionSequences.draw(seed, ACTION_COUNT), InjectedFault.NONE))
        .isNull();
  }

  @ParameterizedTest
  @EnumSource(
      value = InjectedFault.class,
      names = {
        "ACKNOWLEDGE_BEFORE_SYNC",
        "VOTE_ON_WIPED_DISK",
        "FORGET_VOTE_ON_RESTART",
        "CLOCKS_BEYOND_BOUND"
      })
  void an_injected_fault_is_detected(InjectedFault injectedFault) {
    boolean detected = false;
    for (long seed = 1; seed <= 2_000 && !detected; seed++) {
      detected =
          ActionSequences.findViolation(
                  seed, 3, ActionSequences.draw(seed, ACTION_COUNT), injectedFault)
              != null;
    }
    assertThat(detected).isTrue();
  }

  @Test
  void the_actions_that_cause_a_violation_are_minimized() {
    InjectedFault injectedFault = InjectedFault.FORGET_VOTE_ON_RESTART;
    long seed = 1;
    while (ActionSequences.findViolation(
            seed, 3, ActionSequences.draw(seed, ACTION_COUNT), injectedFault)
        == null) {
      seed++;
    }

    List<Action> shortest =
        ActionSequences.minimize(seed, 3, ActionSequences.draw(seed, ACTION_COUNT), injectedFault);

    assertThat(shortest).hasSizeLessThan(ACTION_COUNT / 10);
    assertThat(ActionSequences.findViolation(seed, 3, shortest, injectedFault)).isNotNull();
  }
}
