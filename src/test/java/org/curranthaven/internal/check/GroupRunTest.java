package org.curranthaven.internal.check;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class GroupRunTest {
  private static final int SEEDS = 120;
  private static final int ACTIONS = 6_000;

  @Test
  void three_replicas_keep_every_invariant() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      assertThat(Actions.violation(seed, 3, Actions.draw(seed, ACTIONS), InjectedFault.NONE))
          .as("seed " + seed)
          .isNull();
    }
  }

  @Test
  void five_replicas_keep_every_invariant() {
    for (long seed = 1; seed <= SEEDS / 2; seed++) {
      assertThat(Actions.violation(seed, 5, Actions.draw(seed, ACTIONS), InjectedFault.NONE))
          .as("seed " + seed)
          .isNull();
    }
  }

  @Test
  void a_late_snapshot_does_not_drop_acknowledged_entries_after_it() {
    long seed = 4_166;

    assertThat(Actions.violation(seed, 5, Actions.draw(seed, ACTIONS), InjectedFault.NONE))
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
  void a_deliberate_breakage_is_caught(InjectedFault breakage) {
    boolean caught = false;
    for (long seed = 1; seed <= 2_000 && !caught; seed++) {
      caught = Actions.violation(seed, 3, Actions.draw(seed, ACTIONS), breakage) != null;
    }
    assertThat(caught).isTrue();
  }

  @Test
  void a_violation_is_shortened_to_a_small_trace() {
    InjectedFault breakage = InjectedFault.FORGET_VOTE_ON_RESTART;
    long seed = 1;
    while (Actions.violation(seed, 3, Actions.draw(seed, ACTIONS), breakage) == null) {
      seed++;
    }

    List<Action> shortest = Actions.shorten(seed, 3, Actions.draw(seed, ACTIONS), breakage);

    assertThat(shortest).hasSizeLessThan(ACTIONS / 10);
    assertThat(Actions.violation(seed, 3, shortest, breakage)).isNotNull();
  }
}
