package org.curranthaven.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.EngineCapabilities;
import org.curranthaven.internal.catalog.RequestLimits;
import org.curranthaven.internal.catalog.ServiceSpec;
import org.curranthaven.internal.catalog.ServiceVersion;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against streams that go on at another software version than the one that began them. */
class VersionBindingTest {
  private static final String SERVICE = "engines";
  private static final int MEMORY_TOKENS = 10_000;

  private final SharedKnowledge knowledge = SharedKnowledge.ofScheduler();
  private final DispatchCore core = newCore(knowledge);
  private final Map<String, String> versions = new HashMap<>();
  private long nowMillis = 10_000;
  private long nextId = 1;

  private static DispatchCore newCore(SharedKnowledge knowledge) {
    DispatchCore core =
        new DispatchCore(
            new RetryLimits(0.2, 100, 10_000), 1, new SplittableRandom(1), Set.of(), knowledge);
    core.setCatalog(
        new Catalog(
            1,
            List.of(),
            List.of(
                new ServiceSpec(
                    SERVICE, 100, new EngineCapabilities(8, MEMORY_TOKENS, 4, true, true))),
            RequestLimits.standard(),
            null));
    return core;
  }

  @BeforeEach
  void startTwoVersions() {
    register("a1", "v1", false);
    register("a2", "v1", false);
    register("b1", "v2", false);
    register("b2", "v2", false);
  }

  private void register(String id, String version, boolean leaving) {
    versions.put(id, version);
    core.updateBackend(
        BackendRecord.newBuilder()
            .setId(id)
            .setService(SERVICE)
            .setSoftwareVersion(version)
            .setSlots(8)
            .setLeaving(leaving)
            .build(),
        nowMillis);
  }

  private PlacementRequest.Builder request() {
    return PlacementRequest.newBuilder()
        .setId(nextId++)
        .setService(SERVICE)
        .setEngine(true)
        .setPromptTokens(1_000)
        .setMaxOutputTokens(400)
        .setHintedOutputTokens(400)
        .setTargetLeftMillis(1_800)
        .setDeadlineLeftMillis(30_000);
  }

  private PlacementRequest.Builder resumption(long stream) {
    return request().setResumes(true).setResumedStream(stream);
  }

  private RequestId submit(PlacementRequest.Builder request) {
    RequestId id = new RequestId("g", request.getId());
    core.submit(id, request.build(), nowMillis);
    return id;
  }

  /** Submits a request and returns the backend server that it is placed on. */
  private String place(PlacementRequest.Builder request) {
    RequestId id = submit(request);
    return core.drainDecisions().stream()
        .filter(decision -> decision.requestId().equals(id))
        .map(decision -> ((DispatchDecision.Place) decision).backend())
        .findFirst()
        .orElse("");
  }

  private RejectionReason rejectionOf(PlacementRequest.Builder request) {
    submit(request);
    return ((DispatchDecision.Reject) core.drainDecisions().getFirst()).reason();
  }

  /** Begins a stream, and returns the version that it began at. */
  private String begin(long stream) {
    PlacementRequest.Builder request = request().setStream(stream);
    String backend = place(request);
    RequestId id = new RequestId("g", request.getId());
    core.outputProgressed(id, 4, nowMillis);
    core.requestEnded(id, DispatchOutcome.DISPATCH_OUTCOME_CANCELLED, 4, nowMillis);
    return version(backend);
  }

  private String version(String backend) {
    return versions.getOrDefault(backend, "");
  }

  @Test
  void a_stream_that_is_taken_up_goes_on_at_the_version_that_began_it() {
    for (long stream = 1; stream <= 40; stream++) {
      String begun = begin(stream);
      nowMillis += 20;

      assertThat(version(place(resumption(stream)))).isEqualTo(begun);
      core.removeGateway("g", nowMillis);
    }
  }

  @Test
  void a_stream_is_known_by_its_first_request_after_several_resumptions() {
    String begun = begin(7);
    for (int i = 0; i < 5; i++) {
      nowMillis += StreamOrigins.RETENTION_MILLIS - 1;
      PlacementRequest.Builder resumption = resumption(7).setStream(100 + i);
      assertThat(version(place(resumption))).isEqualTo(begun);
      core.outputProgressed(new RequestId("g", resumption.getId()), 4, nowMillis);
    }
  }

  @Test
  void a_stream_whose_origin_is_unknown_is_rejected_at_once_where_versions_differ() {
    assertThat(rejectionOf(resumption(99))).isEqualTo(RejectionReason.STREAM_ORIGIN_UNKNOWN);
    assertThat(rejectionOf(resumption(0))).isEqualTo(RejectionReason.STREAM_ORIGIN_UNKNOWN);
  }

  @Test
  void a_stream_whose_origin_is_unknown_goes_on_where_there_has_been_one_version() {
    core.removeBackend("b1", nowMillis);
    core.removeBackend("b2", nowMillis);

    assertThat(rejectionOf(resumption(99))).isEqualTo(RejectionReason.STREAM_ORIGIN_UNKNOWN);
    nowMillis += StreamOrigins.RETENTION_MILLIS + 1;
    assertThat(version(place(resumption(99)))).isEqualTo("v1");
  }

  @Test
  void a_stream_of_a_version_that_is_gone_is_rejected_at_once() {
    String begun = begin(7);
    versions.forEach(
        (id, version) -> {
          if (version.equals(begun)) {
            core.removeBackend(id, nowMillis);
          }
        });

    assertThat(rejectionOf(resumption(7))).isEqualTo(RejectionReason.STREAM_VERSION_GONE);
    assertThat(rejectionOf(request().setVersionBound(true).setSoftwareVersion(begun)))
        .isEqualTo(RejectionReason.STREAM_VERSION_GONE);
  }

  /**
   * Guards against streams that are broken off although a server of their version takes requests.
   */
  @Test
  void a_stream_goes_on_at_the_last_server_of_its_version_though_that_is_ejected() {
    for (int failure = 0; failure < 8; failure++) {
      PlacementRequest.Builder failing = request().addAllExcluded(List.of("a2", "b1", "b2"));
      RequestId id = submit(failing);
      if (core.drainDecisions().getFirst() instanceof DispatchDecision.Reject) {
        break; // The server is ejected.
      }
      core.requestEnded(id, DispatchOutcome.DISPATCH_OUTCOME_FAILED, 0, nowMillis);
    }
    PlacementRequest.Builder unbound = request().addAllExcluded(List.of("a2", "b1", "b2"));
    PlacementRequest.Builder bound = request().setVersionBound(true).setSoftwareVersion("v1");

    assertThat(rejectionOf(unbound)).isEqualTo(RejectionReason.ALL_TRIED);
    assertThat(place(bound.clone().setId(nextId++))).isEqualTo("a2");
    assertThat(place(bound.clone().setId(nextId++).addExcluded("a2"))).isEqualTo("a1");
  }

  @Test
  void a_stream_that_waits_for_its_version_holds_up_no_other_and_gets_the_next_room_there() {
    List<RequestId> onFirstVersion = fillVersion("v1");
    RequestId waiting = submit(boundWithTime("v1"));
    assertThat(core.isQueued(waiting)).isTrue();

    assertThat(version(place(request()))).isEqualTo("v2");
    RequestId ended = onFirstVersion.getFirst();
    core.requestEnded(ended, DispatchOutcome.DISPATCH_OUTCOME_ANSWERED, 400, nowMillis);

    assertThat(core.drainDecisions())
        .filteredOn(decision -> decision.requestId().equals(waiting))
        .extracting(decision -> version(((DispatchDecision.Place) decision).backend()))
        .containsExactly("v1");
  }

  private PlacementRequest.Builder boundWithTime(String version) {
    return request()
        .setVersionBound(true)
        .setSoftwareVersion(version)
        .setTargetLeftMillis(60_000)
        .setDeadlineLeftMillis(90_000);
  }

  private List<RequestId> fillVersion(String version) {
    List<RequestId> placed = new ArrayList<>();
    while (true) {
      RequestId id = submit(boundWithTime(version));
      List<DispatchDecision> decisions = core.drainDecisions();
      if (core.isQueued(id) || decisions.getFirst() instanceof DispatchDecision.Reject) {
        core.requestEnded(id, DispatchOutcome.DISPATCH_OUTCOME_CANCELLED, 0, nowMillis);
        return placed;
      }
      placed.add(id);
    }
  }

  @Test
  void new_requests_leave_room_at_a_version_whose_servers_leave_while_others_have_room() {
    register("a2", "v1", true);

    for (int i = 0; i < 8; i++) {
      assertThat(version(place(request()))).isEqualTo("v2");
    }
    fillVersion("v2");
    assertThat(version(place(request()))).isEqualTo("v1");
  }

  @Test
  void a_running_stream_migrates_only_to_its_version() {
    for (int i = 0; i < 10; i++) {
      PlacementRequest.Builder request = request().setIrreplaceable(true).setMaxOutputTokens(4_000);
      String source = place(request.setHintedOutputTokens(4_000));
      core.outputProgressed(new RequestId("g", request.getId()), 40, nowMillis);
      String version = version(source);
      register(source, version, true);

      for (DispatchDecision decision : core.drainDecisions()) {
        if (decision instanceof DispatchDecision.Migrate migration) {
          assertThat(version(migration.target())).isEqualTo(version);
        }
      }
      String replacement = "c" + i;
      register(replacement, version, false);
      core.removeGateway("g", nowMillis);
    }
  }

  @Test
  void a_backup_copy_is_kept_at_the_same_version() {
    for (int i = 0; i < 20; i++) {
      PlacementRequest.Builder request =
          request().setIrreplaceable(true).setMaxOutputTokens(2_000).setHintedOutputTokens(2_000);
      submit(request);
      for (DispatchDecision decision : core.drainDecisions()) {
        DispatchDecision.Place placement = (DispatchDecision.Place) decision;
        assertThat(placement.backup()).isNotEmpty();
        assertThat(version(placement.backup())).isEqualTo(version(placement.backend()));
      }
      core.removeGateway("g", nowMillis);
    }
  }

  @Test
  void the_next_scheduler_goes_on_from_the_origins_that_gateways_know() {
    String begun = begin(7);
    SharedKnowledge successorKnowledge = SharedKnowledge.ofScheduler();
    DispatchCore successor = newCore(successorKnowledge);
    successor.restoreStreams(
        knowledge.streamOrigins().exportOrigins(nowMillis), core.servedVersions(nowMillis), 500);
    successor.updateBackend(
        BackendRecord.newBuilder()
            .setId("b3")
            .setService(SERVICE)
            .setSoftwareVersion(begun.equals("v1") ? "v2" : "v1")
            .setSlots(8)
            .build(),
        500);

    successor.submit(new RequestId("g", 50), resumption(7).build(), 500);
    successor.submit(new RequestId("g", 51), resumption(99).build(), 500);

    assertThat(successor.drainDecisions())
        .extracting(decision -> ((DispatchDecision.Reject) decision).reason())
        .containsExactly(
            RejectionReason.STREAM_VERSION_GONE, RejectionReason.STREAM_ORIGIN_UNKNOWN);
  }

  @Test
  void the_number_of_remembered_streams_is_bounded() {
    StreamOrigins origins = new StreamOrigins();
    for (long stream = 1; stream <= StreamOrigins.MAX_STREAMS + 10; stream++) {
      origins.recordOutput(request().setStream(stream).build(), "v1", nowMillis);
    }

    assertThat(origins.originOf(10)).isNull();
    assertThat(origins.originOf(11)).isEqualTo(new ServiceVersion(SERVICE, "v1"));
  }

  /** Guards against a stream that goes on at another service, after a change of its route. */
  @Test
  void a_stream_that_began_at_another_service_is_rejected() {
    begin(7);
    core.removeBackend("b1", nowMillis);
    core.removeBackend("b2", nowMillis);

    assertThat(rejectionOf(resumption(7).setService("other")))
        .isEqualTo(RejectionReason.STREAM_ORIGIN_UNKNOWN);
  }

  /** Guards against a guess where a route distributes its requests among several services. */
  @Test
  void a_stream_of_unknown_origin_is_rejected_where_its_route_has_several_services() {
    SharedKnowledge oneVersion = SharedKnowledge.ofScheduler();
    DispatchCore single = newCore(oneVersion);
    single.updateBackend(
        BackendRecord.newBuilder()
            .setId("a1")
            .setService(SERVICE)
            .setSoftwareVersion("v1")
            .setSlots(8)
            .build(),
        nowMillis);

    single.submit(
        new RequestId("g", 1), resumption(99).setSeveralServices(true).build(), nowMillis);
    single.submit(new RequestId("g", 2), resumption(99).build(), nowMillis);

    List<DispatchDecision> decisions = single.drainDecisions();
    assertThat(decisions.getFirst()).isInstanceOf(DispatchDecision.Reject.class);
    assertThat(decisions.getLast()).isInstanceOf(DispatchDecision.Place.class);
  }
}
