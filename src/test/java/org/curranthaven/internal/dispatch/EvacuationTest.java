package org.curranthaven.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.EngineCapabilities;
import org.curranthaven.internal.catalog.RequestLimits;
import org.curranthaven.internal.catalog.ServiceSpec;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.curranthaven.internal.transport.wire.RunningDispatch;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests of each kind that are placed in an evacuated data centre, and against
 * forecasts that count its backend servers.
 */
class EvacuationTest {
  private static final Set<String> EAST = Set.of("east");

  private final DispatchCore core =
      new DispatchCore(new RetryLimits(0.2, 10, 10_000), 1, new SplittableRandom(1));
  private long nextId = 1;

  EvacuationTest() {
    EngineCapabilities engine = new EngineCapabilities(8, 10_000, 4, true, true);
    List<ServiceSpec> services =
        List.of(new ServiceSpec("engines", 100, engine), new ServiceSpec("plain", 100, null));
    core.setCatalog(new Catalog(1, List.of(), services, RequestLimits.standard(), null));
  }

  private static BackendRecord server(String id, String service, String dataCentre) {
    return BackendRecord.newBuilder()
        .setId(id)
        .setService(service)
        .setSoftwareVersion("v1")
        .setAddress("10.0.0.1:80")
        .setDataCentre(dataCentre)
        .setSlots(2)
        .setSequence(1)
        .build();
  }

  private static BackendRecord engine(String id, String dataCentre) {
    return server(id, "engines", dataCentre);
  }

  private static BackendRecord leaving(BackendRecord record) {
    return record.toBuilder().setLeaving(true).setSequence(9).build();
  }

  private static PlacementRequest.Builder plainRequest() {
    return PlacementRequest.newBuilder()
        .setService("plain")
        .setRoute("pages")
        .setTargetLeftMillis(2_000)
        .setDeadlineLeftMillis(5_000);
  }

  private static PlacementRequest.Builder draftRequest(int promptTokens, int outputTokens) {
    return PlacementRequest.newBuilder()
        .setService("engines")
        .setRoute("drafts")
        .setPriority(1)
        .setPromptTokens(promptTokens)
        .setMaxOutputTokens(outputTokens)
        .setHintedOutputTokens(outputTokens)
        .setTargetLeftMillis(4_000)
        .setDeadlineLeftMillis(30_000)
        .setDataCentre("east")
        .setEngine(true);
  }

  private RequestId submit(PlacementRequest.Builder request, long nowMillis) {
    RequestId requestId = new RequestId("gateway", nextId++);
    core.submit(requestId, request.setId(requestId.id()).build(), nowMillis);
    return requestId;
  }

  private List<String> placements() {
    List<String> backends = new ArrayList<>();
    for (DispatchDecision decision : core.drainDecisions()) {
      if (decision instanceof DispatchDecision.Place place) {
        backends.add(place.backend());
      }
    }
    return backends;
  }

  private DispatchDecision onlyDecision() {
    List<DispatchDecision> decisions = core.drainDecisions();
    assertThat(decisions).hasSize(1);
    return decisions.getFirst();
  }

  @Test
  void first_attempts_go_to_other_data_centres() {
    core.updateBackend(server("e-1", "plain", "east"), 0);
    core.updateBackend(server("w-1", "plain", "west"), 0);
    core.setEvacuated(EAST, 0);

    submit(plainRequest(), 1);
    submit(plainRequest(), 1);

    assertThat(placements()).containsExactly("w-1", "w-1");
  }

  @Test
  void a_retry_goes_to_no_server_of_an_evacuated_data_centre() {
    core.updateBackend(server("e-1", "plain", "east"), 0);
    core.updateBackend(server("w-1", "plain", "west"), 0);
    core.setEvacuated(EAST, 0);

    submit(plainRequest().setRepeat(true).addExcluded("w-1"), 1);

    assertThat(onlyDecision()).isInstanceOf(DispatchDecision.Reject.class);
  }

  @Test
  void a_queued_request_is_not_placed_when_capacity_becomes_free_there() {
    core.updateBackend(engine("e-1", "east"), 0);
    core.updateBackend(engine("w-1", "west"), 0);
    RequestId east = submit(draftRequest(6_000, 100), 0);
    submit(draftRequest(6_000, 100), 0);
    String eastBackend = placements().getFirst();
    RequestId queued = submit(draftRequest(6_000, 100), 1);
    assertThat(core.isQueued(queued)).isTrue();
    core.setEvacuated(Set.of(eastBackend.equals("e-1") ? "east" : "west"), 2);

    core.requestEnded(east, DispatchOutcome.DISPATCH_OUTCOME_ANSWERED, 100, 10);
    core.tick(20);

    assertThat(placements()).isEmpty();
    assertThat(core.isQueued(queued)).isTrue();
  }

  @Test
  void queued_requests_that_no_other_data_centre_can_serve_are_rejected_at_once() {
    core.updateBackend(engine("e-1", "east"), 0);
    submit(draftRequest(6_000, 100), 0);
    RequestId queued = submit(draftRequest(6_000, 100), 1);
    core.drainDecisions();
    assertThat(core.isQueued(queued)).isTrue();

    core.setEvacuated(EAST, 2);

    assertThat(((DispatchDecision.Reject) onlyDecision()).requestId()).isEqualTo(queued);
    assertThat(core.queuedRequests()).isZero();
  }

  /** Guards against a resumed stream that waits for its version until its time is up. */
  @Test
  void a_queued_stream_whose_version_no_other_data_centre_has_is_rejected_at_once() {
    core.updateBackend(withVersion(engine("e-1", "east"), "v1"), 0);
    core.updateBackend(withVersion(engine("w-1", "west"), "v2"), 0);
    PlacementRequest.Builder stream =
        draftRequest(6_000, 100).setVersionBound(true).setSoftwareVersion("v1");
    submit(stream, 0);
    RequestId queued = submit(stream, 1);
    core.drainDecisions();
    assertThat(core.isQueued(queued)).isTrue();

    core.setEvacuated(EAST, 2);

    assertThat(((DispatchDecision.Reject) onlyDecision()).requestId()).isEqualTo(queued);
  }

  @Test
  void a_request_that_only_an_evacuated_data_centre_could_serve_is_rejected_at_once() {
    core.updateBackend(server("e-1", "plain", "east"), 0);
    core.setEvacuated(EAST, 0);

    RequestId requestId = submit(plainRequest(), 1);

    DispatchDecision.Reject rejection = (DispatchDecision.Reject) onlyDecision();
    assertThat(rejection.reason()).isEqualTo(RejectionReason.NO_BACKEND);
    assertThat(rejection.retryAfterMillis()).isPositive();
    assertThat(core.isQueued(requestId)).isFalse();
  }

  @Test
  void no_backup_copy_is_assigned_to_an_engine_of_an_evacuated_data_centre() {
    core.updateBackend(engine("e-1", "east"), 0);
    core.updateBackend(engine("w-1", "west"), 0);
    core.setEvacuated(EAST, 0);

    submit(draftRequest(1_000, 400).setIrreplaceable(true), 1);

    DispatchDecision.Place placement = (DispatchDecision.Place) onlyDecision();
    assertThat(placement.backend()).isEqualTo("w-1");
    assertThat(placement.backup()).isEmpty();
  }

  @Test
  void a_migration_goes_to_no_engine_of_an_evacuated_data_centre() {
    core.updateBackend(engine("w-1", "west"), 0);
    RequestId running = submit(draftRequest(1_000, 2_000), 0);
    core.outputProgressed(running, 4, 100);
    core.updateBackend(engine("e-1", "east"), 100);
    core.setEvacuated(EAST, 100);
    core.drainDecisions();

    core.updateBackend(leaving(engine("w-1", "west")), 200);
    assertThat(core.drainDecisions()).isEmpty();
    core.updateBackend(engine("n-1", "north"), 210);
    core.tick(220);

    assertThat(((DispatchDecision.Migrate) onlyDecision()).target()).isEqualTo("n-1");
  }

  @Test
  void a_request_whose_backup_copy_is_in_an_evacuated_data_centre_is_migrated_first() {
    core.updateBackend(engine("w-1", "west"), 0);
    core.updateBackend(engine("e-1", "east"), 0);
    core.updateBackend(engine("n-1", "north"), 0);
    restore(draftRequest(2_000, 2_000).setId(71).build(), "e-1");
    restore(draftRequest(1_000, 2_000).setId(72).build(), "n-1");
    core.setEvacuated(EAST, 100);

    core.updateBackend(leaving(engine("w-1", "west")), 200);

    assertThat(((DispatchDecision.Migrate) onlyDecision()).requestId())
        .isEqualTo(new RequestId("gateway", 71));
  }

  private void restore(PlacementRequest request, String backup) {
    RunningDispatch running =
        RunningDispatch.newBuilder()
            .setAsk(request)
            .setBackend("w-1")
            .setBackup(backup)
            .setOutputTokens(40)
            .build();
    core.restoreRunning(new RequestId("gateway", request.getId()), running, 0);
  }

  @Test
  void a_stream_that_its_caller_takes_up_goes_to_its_version_in_another_data_centre_only() {
    core.updateBackend(withVersion(server("e-1", "plain", "east"), "v1"), 0);
    core.updateBackend(withVersion(server("w-1", "plain", "west"), "v2"), 0);
    core.setEvacuated(EAST, 0);

    submit(plainRequest().setVersionBound(true).setSoftwareVersion("v1"), 1);
    assertThat(onlyDecision()).isInstanceOf(DispatchDecision.Reject.class);
    core.updateBackend(withVersion(server("w-2", "plain", "west"), "v1"), 2);
    submit(plainRequest().setVersionBound(true).setSoftwareVersion("v1"), 3);

    assertThat(placements()).containsExactly("w-2");
  }

  private static BackendRecord withVersion(BackendRecord record, String version) {
    return record.toBuilder().setSoftwareVersion(version).build();
  }

  @Test
  void a_core_for_local_fallback_obeys_the_order_from_its_start() {
    DispatchCore local =
        new DispatchCore(new RetryLimits(0.2, 10, 10_000), 3, new SplittableRandom(1));
    local.setEvacuated(EAST, 0);
    local.updateBackend(server("e-1", "plain", "east"), 0);
    local.updateBackend(server("w-1", "plain", "west"), 0);

    local.submit(new RequestId("gateway", 1), plainRequest().setId(1).build(), 1);

    assertThat(local.drainDecisions())
        .extracting(decision -> ((DispatchDecision.Place) decision).backend())
        .containsExactly("w-1");
  }

  @Test
  void running_requests_continue_and_are_not_migrated() {
    core.updateBackend(engine("e-1", "east"), 0);
    RequestId running = submit(draftRequest(1_000, 2_000), 0);
    core.outputProgressed(running, 4, 100);
    core.updateBackend(engine("w-1", "west"), 100);
    core.drainDecisions();

    core.setEvacuated(EAST, 200);
    core.tick(300);

    assertThat(core.drainDecisions()).isEmpty();
    assertThat(core.runningRequests()).isEqualTo(1);
  }

  /** Guards against a queue time that counts memory which is released where nothing may be sent. */
  @Test
  void the_forecast_counts_only_memory_that_becomes_free_in_other_data_centres() {
    core.updateBackend(engine("w-1", "west"), 0);
    RequestId west = submit(draftRequest(9_000, 900), 0);
    core.updateBackend(engine("e-1", "east"), 0);
    RequestId east = submit(draftRequest(9_000, 60), 0);
    core.outputProgressed(west, 4, 700);
    core.outputProgressed(east, 4, 700);
    core.drainDecisions();
    core.setEvacuated(EAST, 700);

    submit(draftRequest(9_000, 60).setTargetLeftMillis(3_500), 710);

    DispatchDecision.Reject rejection = (DispatchDecision.Reject) onlyDecision();
    assertThat(rejection.reason()).isEqualTo(RejectionReason.NO_ROOM_IN_TIME);
  }

  /**
   * Guards against requests that are rejected although a server is left, which was ejected in
   * comparison with those that are evacuated.
   */
  @Test
  void a_server_that_was_ejected_takes_requests_when_it_is_the_only_one_left() {
    core.updateBackend(server("w-1", "plain", "west"), 0);
    core.updateBackend(server("e-1", "plain", "east"), 0);
    for (int i = 0; i < 3; i++) {
      RequestId failed = submit(plainRequest().addExcluded("e-1"), i);
      core.requestEnded(failed, DispatchOutcome.DISPATCH_OUTCOME_FAILED, 0, i);
    }
    core.drainDecisions();
    submit(plainRequest().addExcluded("e-1"), 5);
    assertThat(onlyDecision()).isInstanceOf(DispatchDecision.Reject.class);

    core.setEvacuated(EAST, 10);
    submit(plainRequest(), 11);

    assertThat(placements()).containsExactly("w-1");
  }

  @Test
  void when_the_evacuation_ends_queued_requests_are_placed_there() {
    core.updateBackend(engine("w-1", "west"), 0);
    submit(draftRequest(6_000, 100), 0);
    core.updateBackend(engine("e-1", "east"), 0);
    core.setEvacuated(EAST, 0);
    RequestId queued = submit(draftRequest(6_000, 100), 1);
    core.drainDecisions();
    assertThat(core.isQueued(queued)).isTrue();

    core.setEvacuated(Set.of(), 10);

    assertThat(placements()).containsExactly("e-1");
  }
}
