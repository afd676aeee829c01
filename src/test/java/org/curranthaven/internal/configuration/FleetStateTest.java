package org.curranthaven.internal.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import org.curranthaven.internal.catalog.EvacuationState;
import org.curranthaven.internal.catalog.ServiceVersion;
import org.curranthaven.internal.settings.Json;
import org.junit.jupiter.api.Test;

/** Guards against replicated state that a command does not reach or a snapshot leaves out. */
class FleetStateTest {
  private final FleetState state = new FleetState();
  private long index = 1;

  private ByteString apply(FleetCommand command) {
    return state.apply(index++, Json.write(command));
  }

  private EvacuationState.Result order(FleetCommand command) {
    return Json.read(apply(command), EvacuationState.Result.class);
  }

  @Test
  void an_order_is_applied_and_its_result_holds_the_new_state() {
    apply(new FleetCommand.AddDataCentre("east"));

    assertThat(order(new FleetCommand.Evacuate("east")))
        .isEqualTo(
            new EvacuationState.Result(
                true,
                new EvacuationState.Snapshot(
                    1, List.of("east"), List.of("east"), Map.of("east", 1L))));
    assertThat(order(new FleetCommand.EndEvacuation("east")).state().evacuated()).isEmpty();
    assertThat(order(new FleetCommand.Evacuate("west")).accepted()).isFalse();
  }

  @Test
  void a_restored_snapshot_holds_the_evacuated_and_the_known_data_centres() {
    apply(new FleetCommand.AddDataCentre("east"));
    apply(new FleetCommand.AddDataCentre("west"));
    apply(new FleetCommand.Evacuate("west"));
    FleetState restored = new FleetState();

    restored.restore(state.snapshot());

    assertThat(restored.evacuation().snapshot())
        .isEqualTo(
            new EvacuationState.Snapshot(
                1, List.of("west"), List.of("east", "west"), Map.of("west", 1L)));
  }

  /** Guards against a host that cannot read the snapshot that its earlier software wrote. */
  @Test
  void a_snapshot_without_evacuation_is_restored() {
    apply(new FleetCommand.AddServedVersion(new ServiceVersion("engines", "v1")));
    String earlier =
        state.snapshot().toStringUtf8().replaceFirst(",\"evacuation\":\\{.*\\}\\}$", "}");
    assertThat(earlier).doesNotContain("evacuation");
    FleetState restored = new FleetState();

    restored.restore(ByteString.copyFromUtf8(earlier));

    assertThat(restored.servedVersions().all()).hasSize(1);
    assertThat(restored.evacuation().snapshot()).isEqualTo(EvacuationState.Snapshot.EMPTY);
  }

  /** Guards against a log or snapshot of earlier software that gives another state. */
  @Test
  void orders_and_snapshots_of_earlier_software_are_applied_as_before() {
    state.apply(
        index++, ByteString.copyFromUtf8("{\"command\":\"evacuate\",\"dataCentre\":\"east\"}"));
    state.apply(
        index++, ByteString.copyFromUtf8("{\"command\":\"evacuate\",\"dataCentre\":\"east\"}"));
    assertThat(state.evacuation().snapshot().revision()).isEqualTo(1);
    String earlier =
        state.snapshot().toStringUtf8().replace(",\"orderRevisions\":{\"east\":1}", "");
    assertThat(earlier).doesNotContain("orderRevisions");
    FleetState restored = new FleetState();

    restored.restore(ByteString.copyFromUtf8(earlier));

    assertThat(restored.evacuation().snapshot().evacuated()).containsExactly("east");
    restored.apply(
        index++,
        ByteString.copyFromUtf8("{\"command\":\"endEvacuation\",\"dataCentre\":\"east\"}"));
    assertThat(restored.evacuation().snapshot().evacuated()).isEmpty();
    assertThat(restored.evacuation().snapshot().revision()).isEqualTo(2);
  }

  @Test
  void a_restored_snapshot_rejects_orders_made_before_the_latest_one() {
    apply(new FleetCommand.AddDataCentre("east"));
    apply(new FleetCommand.Evacuate("east", 0L));
    FleetState restored = new FleetState();

    restored.restore(state.snapshot());

    EvacuationState.Result late =
        Json.read(
            restored.apply(index++, Json.write(new FleetCommand.EndEvacuation("east", 0L))),
            EvacuationState.Result.class);
    assertThat(late.accepted()).isFalse();
    assertThat(restored.evacuation().snapshot().evacuated()).containsExactly("east");
  }
}
