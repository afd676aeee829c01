package org.curranthaven.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.EngineCapabilities;
import org.curranthaven.internal.catalog.RequestLimits;
import org.curranthaven.internal.catalog.ServiceSpec;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.curranthaven.internal.transport.wire.PromptPart;
import org.curranthaven.internal.transport.wire.RunningDispatch;
import org.curranthaven.internal.transport.wire.SuspectRecord;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that crashes each backend server and comes again, and against blocking
 * sound requests that ran on the same backend servers.
 */
class RequestCrashesTest {
  private static final long BAD = 0xbadL;
  private static final long POPULAR = 0x909L;
  private static final String PLAIN = "plain";
  private static final String ENGINES = "engines";

  private final CrashEvidence evidence = new CrashEvidence();
  private final DispatchCore core = newCore(evidence);
  private long nowMillis = 10_000;
  private long nextId = 1;
  private int nextServer = 1;
  private final Map<String, String> addresses = new HashMap<>();

  private static DispatchCore newCore(CrashEvidence evidence) {
    return new DispatchCore(
        new RetryLimits(0.2, 100, 10_000),
        1,
        new SplittableRandom(1),
        Set.of(),
        new SharedKnowledge(
            evidence, RequestRateLimits.ofScheduler(), new StreamOrigins(), new RestTimes()));
  }

  @BeforeEach
  void startServers() {
    core.setCatalog(
        new Catalog(
            1,
            List.of(),
            List.of(
                new ServiceSpec(PLAIN, 100, null),
                new ServiceSpec(ENGINES, 100, new EngineCapabilities(8, 30_000, 4, true, true))),
            RequestLimits.standard(),
            null));
    for (int i = 0; i < 3; i++) {
      register(PLAIN);
      register(ENGINES);
    }
  }

  private void register(String service) {
    register(service, "10.0.0." + nextServer + ":80");
  }

  private void register(String service, String address) {
    String id = "i-" + nextServer++;
    addresses.put(id, address);
    core.updateBackend(
        BackendRecord.newBuilder()
            .setId(id)
            .setService(service)
            .setAddress(address)
            .setSlots(6)
            .setSequence(1)
            .build(),
        nowMillis);
  }

  private PlacementRequest request(String service, String workspace, long fingerprint) {
    PlacementRequest.Builder request =
        PlacementRequest.newBuilder()
            .setId(nextId++)
            .setService(service)
            .setWorkspace(workspace)
            .setFingerprint(fingerprint)
            .setPriority(1)
            .setTargetLeftMillis(400)
            .setDeadlineLeftMillis(3_000);
    if (service.equals(ENGINES)) {
      request
          .setEngine(true)
          .setPromptTokens(100)
          .setMaxOutputTokens(200)
          .addParts(PromptPart.newBuilder().setId("first"))
          .addParts(PromptPart.newBuilder().setId("own" + fingerprint));
    }
    return request.build();
  }

  private record Placed(RequestId id, String server) {}

  private RequestId submit(PlacementRequest request) {
    RequestId id = new RequestId("g" + request.getId() % 3, request.getId());
    core.submit(id, request, nowMillis);
    return id;
  }

  /** Submits a request that is expected to be placed. */
  private Placed place(String service, String workspace, long fingerprint) {
    RequestId id = submit(request(service, workspace, fingerprint));
    return new Placed(id, placementOf(id));
  }

  private String placementOf(RequestId id) {
    return core.drainDecisions().stream()
        .filter(decision -> decision.requestId().equals(id))
        .map(decision -> ((DispatchDecision.Place) decision).backend())
        .findFirst()
        .orElseThrow();
  }

  private void end(Placed placed, DispatchOutcome outcome) {
    core.requestEnded(placed.id(), outcome, 0, nowMillis);
  }

  private void complete(Placed placed) {
    nowMillis += 50;
    end(placed, DispatchOutcome.DISPATCH_OUTCOME_ANSWERED);
  }

  /** Crashes the backend server of a request, and starts another one in its place. */
  private void crash(String service, Placed placed) {
    nowMillis += 200;
    core.backendCrashed(placed.server(), nowMillis);
    end(placed, DispatchOutcome.DISPATCH_OUTCOME_FAILED);
    register(service);
  }

  private void crashThreeTimes(String service) {
    for (int i = 0; i < CrashEvidence.CRASHES_TO_BLOCK; i++) {
      crash(service, place(service, "w", BAD));
    }
    core.drainDecisions();
  }

  private RejectionReason rejectionOf(String service, String workspace, long fingerprint) {
    submit(request(service, workspace, fingerprint));
    return ((DispatchDecision.Reject) core.drainDecisions().getFirst()).reason();
  }

  @Test
  void a_request_under_which_three_plain_servers_crashed_is_rejected_at_once() {
    crashThreeTimes(PLAIN);

    assertThat(rejectionOf(PLAIN, "w", BAD)).isEqualTo(RejectionReason.CRASHES_BACKENDS);
    assertThat(evidence.blockedRequests(nowMillis)).containsExactly("bad");
  }

  @Test
  void the_same_request_of_another_workspace_or_to_another_service_is_still_placed() {
    crashThreeTimes(PLAIN);

    assertThat(place(PLAIN, "other", BAD).server()).isNotEmpty();
    assertThat(place(ENGINES, "w", BAD).server()).isNotEmpty();
    assertThat(place(PLAIN, "w", 7).server()).isNotEmpty();
  }

  @Test
  void a_request_is_blocked_before_the_parts_that_only_it_has_used() {
    crashThreeTimes(ENGINES);

    assertThat(rejectionOf(ENGINES, "w", BAD)).isEqualTo(RejectionReason.CRASHES_BACKENDS);
    assertThat(evidence.blockedParts(nowMillis)).isEmpty();
    assertThat(place(ENGINES, "w", 7).server()).isNotEmpty();
  }

  @Test
  void output_that_continues_for_a_while_before_each_crash_does_not_clear_a_request() {
    for (int i = 0; i < CrashEvidence.CRASHES_TO_BLOCK; i++) {
      Placed placed = place(ENGINES, "w", BAD);
      core.outputProgressed(placed.id(), 4, nowMillis);
      nowMillis += 1_000;
      core.outputProgressed(placed.id(), 40, nowMillis);
      crash(ENGINES, placed);
    }
    core.drainDecisions();

    assertThat(rejectionOf(ENGINES, "w", BAD)).isEqualTo(RejectionReason.CRASHES_BACKENDS);
  }

  @Test
  void a_suspect_waits_while_it_runs_and_holds_up_no_other_request() {
    crash(PLAIN, place(PLAIN, "w", BAD));
    Placed running = place(PLAIN, "w", BAD);

    RequestId held = submit(request(PLAIN, "w", BAD));
    assertThat(core.isQueued(held)).isTrue();
    assertThat(place(PLAIN, "w", 7).server()).isNotEmpty();
    complete(running);

    assertThat(placementOf(held)).isNotEmpty();
  }

  @Test
  void a_suspect_that_waits_is_rejected_with_the_third_crash() {
    crash(PLAIN, place(PLAIN, "w", BAD));
    crash(PLAIN, place(PLAIN, "w", BAD));
    Placed running = place(PLAIN, "w", BAD);
    RequestId held = submit(request(PLAIN, "w", BAD));

    crash(PLAIN, running);

    assertThat(core.drainDecisions())
        .containsExactly(
            new DispatchDecision.Reject(
                held, CrashEvidence.FIRST_BLOCK_MILLIS, RejectionReason.CRASHES_BACKENDS));
  }

  @Test
  void a_suspect_that_waits_too_long_is_rejected_for_now() {
    crash(PLAIN, place(PLAIN, "w", BAD));
    place(PLAIN, "w", BAD);
    RequestId held = submit(request(PLAIN, "w", BAD));

    nowMillis += 1_000;
    core.tick(nowMillis);

    assertThat(core.isQueued(held)).isFalse();
    assertThat(core.drainDecisions())
        .filteredOn(decision -> decision.requestId().equals(held))
        .allMatch(decision -> decision instanceof DispatchDecision.Reject);
  }

  @Test
  void a_popular_request_on_every_crashed_server_is_cleared_by_its_responses() {
    for (int i = 0; i < 6; i++) {
      Placed popular = place(PLAIN, "w", POPULAR);
      Placed crashing = place(PLAIN, "w", 100 + i);
      nowMillis += 200;
      core.backendCrashed(popular.server(), nowMillis);
      core.backendCrashed(crashing.server(), nowMillis);
      end(popular, DispatchOutcome.DISPATCH_OUTCOME_FAILED);
      end(crashing, DispatchOutcome.DISPATCH_OUTCOME_FAILED);
      register(PLAIN);
      register(PLAIN);
      complete(place(PLAIN, "w", POPULAR));
    }

    assertThat(evidence.blockedRequests(nowMillis)).isEmpty();
  }

  @Test
  void of_two_requests_on_the_same_crashed_servers_the_rarer_one_is_blocked() {
    for (String server : List.of("i-1", "i-3", "i-5")) {
      runOn(server, BAD);
      runOn(server, POPULAR);
      evidence.recordRequest(request(PLAIN, "w", POPULAR));
      nowMillis += 200;
      core.backendCrashed(server, nowMillis);
    }

    assertThat(evidence.blockedRequests(nowMillis)).containsExactly("bad");
  }

  private void runOn(String server, long fingerprint) {
    PlacementRequest request = request(PLAIN, "w", fingerprint);
    evidence.recordRequest(request);
    core.restoreRunning(
        new RequestId("g", request.getId()),
        RunningDispatch.newBuilder().setAsk(request).setBackend(server).build(),
        nowMillis);
  }

  @Test
  void the_next_scheduler_and_local_fallback_keep_what_is_blocked() {
    crashThreeTimes(PLAIN);
    CrashEvidence known = new CrashEvidence();
    known.merge(evidence.export(nowMillis), nowMillis);
    DispatchCore successor = newCore(known);

    successor.submit(new RequestId("g", 99), request(PLAIN, "w", BAD), nowMillis);

    assertThat(((DispatchDecision.Reject) successor.drainDecisions().getFirst()).reason())
        .isEqualTo(RejectionReason.CRASHES_BACKENDS);
  }

  @Test
  void a_restored_run_of_a_suspect_counts_as_running() {
    crash(PLAIN, place(PLAIN, "w", BAD));
    core.drainDecisions();
    PlacementRequest restored = request(PLAIN, "w", BAD);
    core.restoreRunning(
        new RequestId("g7", restored.getId()),
        RunningDispatch.newBuilder().setAsk(restored).setBackend("i-3").build(),
        nowMillis);

    RequestId held = submit(request(PLAIN, "w", BAD));

    assertThat(core.isQueued(held)).isTrue();
  }

  @Test
  void a_server_that_is_back_at_its_address_before_it_was_missed_has_crashed() {
    for (int i = 0; i < CrashEvidence.CRASHES_TO_BLOCK; i++) {
      Placed placed = place(PLAIN, "w", BAD);
      nowMillis += 200;
      end(placed, DispatchOutcome.DISPATCH_OUTCOME_CONNECTION_LOST);
      nowMillis += 500;
      register(PLAIN, addresses.getOrDefault(placed.server(), ""));
      core.drainDecisions();
    }
    core.drainDecisions();

    assertThat(rejectionOf(PLAIN, "w", BAD)).isEqualTo(RejectionReason.CRASHES_BACKENDS);
  }

  @Test
  void a_server_at_the_address_of_one_that_lost_no_connection_is_no_evidence() {
    for (int i = 0; i < CrashEvidence.CRASHES_TO_BLOCK; i++) {
      Placed placed = place(PLAIN, "w", BAD);
      nowMillis += 200;
      end(placed, DispatchOutcome.DISPATCH_OUTCOME_FAILED);
      register(PLAIN, addresses.getOrDefault(placed.server(), ""));
      core.drainDecisions();
    }

    assertThat(evidence.blockedRequests(nowMillis)).isEmpty();
  }

  @Test
  void only_what_has_changed_is_exported_again() {
    crash(PLAIN, place(PLAIN, "w", 1));
    crash(PLAIN, place(PLAIN, "w", 2));
    long version = evidence.version();
    assertThat(evidence.exportSince(version, nowMillis)).isEmpty();

    crash(PLAIN, place(PLAIN, "w", 3));

    assertThat(evidence.exportSince(version, nowMillis))
        .extracting(SuspectRecord::getFingerprint)
        .containsExactly(3L);
  }
}
