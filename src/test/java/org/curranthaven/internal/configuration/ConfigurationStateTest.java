package org.curranthaven.internal.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.curranthaven.api.ServiceClass;
import org.curranthaven.api.Targets;
import org.curranthaven.internal.settings.Json;
import org.junit.jupiter.api.Test;

class ConfigurationStateTest {
  private final ConfigurationState state = new ConfigurationState();

  private static ConfigurationChange change(
      String changeId, long baseRevision, String operator, Edit... edits) {
    return new ConfigurationChange(changeId, baseRevision, operator, List.of(edits));
  }

  private static Edit putClass(String name, long gapMillis) {
    return new Edit.PutClass(new ServiceClass(name, new Targets(400, gapMillis, 5_000), true));
  }

  @Test
  void a_class_is_created_with_its_targets() {
    ChangeResult result = state.apply(change("c1", 0, "ama", putClass("door", 100)));

    assertThat(result).isEqualTo(new ChangeResult.Committed(1, List.of()));
    assertThat(state.current().classes().values())
        .extracting(serviceClass -> serviceClass.targets().firstReplyMillis())
        .containsExactly(400L);
  }

  @Test
  void of_two_changes_from_the_same_revision_the_second_conflicts_and_names_the_first() {
    state.apply(change("c1", 0, "ama", putClass("door", 100)));

    ChangeResult result = state.apply(change("c2", 0, "kofi", putClass("door", 50)));

    assertThat(result).isEqualTo(new ChangeResult.Conflict(1, "c1", "ama"));
    assertThat(state.current().classes().values())
        .extracting(serviceClass -> serviceClass.targets().gapMillis())
        .containsExactly(100L);
  }

  @Test
  void a_change_that_is_sent_again_gets_its_first_result() {
    ChangeResult first = state.apply(change("c1", 0, "ama", putClass("door", 100)));
    state.apply(change("c2", 1, "kofi", putClass("note", 100)));

    ChangeResult repeated = state.apply(change("c1", 0, "ama", putClass("door", 100)));

    assertThat(repeated).isEqualTo(first);
    assertThat(state.current().revision()).isEqualTo(2);
  }

  @Test
  void an_invalid_change_is_rejected_as_a_whole_with_every_fault() {
    ChangeResult result =
        state.apply(
            change(
                "c1",
                0,
                "ama",
                putClass("door", 100),
                new Edit.Remove(Edit.Kind.MODEL, "story"),
                new Edit.Remove(Edit.Kind.SERVICE, "desk")));

    assertThat(result).isInstanceOf(ChangeResult.Invalid.class);
    assertThat(((ChangeResult.Invalid) result).faults()).hasSize(2);
    assertThat(state.current().classes()).isEmpty();
  }

  @Test
  void a_target_that_no_engine_can_meet_gives_a_warning() {
    ChangeResult result = state.apply(change("c1", 0, "ama", putClass("door", 1)));

    assertThat(((ChangeResult.Committed) result).warnings())
        .singleElement()
        .asString()
        .contains("door");
  }

  @Test
  void a_snapshot_contains_results_and_history() {
    state.apply(change("c1", 0, "ama", putClass("door", 100)));
    ConfigurationState.Snapshot snapshot =
        Json.read(Json.write(state.snapshot()), ConfigurationState.Snapshot.class);

    ConfigurationState restored = new ConfigurationState();
    restored.restore(snapshot);

    assertThat(restored.current()).isEqualTo(state.current());
    assertThat(restored.apply(change("c1", 0, "ama", putClass("door", 100))))
        .isEqualTo(new ChangeResult.Committed(1, List.of()));
    assertThat(restored.history()).hasSize(1);
  }

  @Test
  void deltas_update_an_older_configuration_to_the_latest() {
    state.apply(change("c1", 0, "ama", putClass("door", 100)));
    org.curranthaven.api.Configuration older = state.current();
    state.apply(change("c2", 1, "ama", putClass("note", 100)));
    state.apply(change("c3", 2, "ama", new Edit.Remove(Edit.Kind.CLASS, "door")));

    assertThat(Deltas.apply(older, state.deltasAfter(1))).isEqualTo(state.current());
    assertThat(Deltas.apply(older, state.deltasAfter(2)))
        .as("a delta that does not directly follow the base is skipped")
        .isEqualTo(older);
  }

  @Test
  void no_deltas_are_returned_when_some_are_no_longer_stored() {
    for (int i = 0; i < RecentChanges.MAX_DELTAS + 2; i++) {
      state.apply(change("c" + i, i, "ama", putClass("door", 100 + i)));
    }

    assertThat(state.deltasAfter(0)).isEmpty();
    assertThat(state.deltasAfter(5)).hasSize(RecentChanges.MAX_DELTAS + 2 - 5);
  }
}
