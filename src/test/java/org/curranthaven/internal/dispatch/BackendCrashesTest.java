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
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against engines that crash one after the other under requests with one part in common, and
 * against blocking parts for crashes with another cause.
 */
class BackendCrashesTest {
  private static final int OUTPUT_TOKENS = 200;

  private final CrashEvidence evidence = new CrashEvidence();
  private final DispatchCore core =
      new DispatchCore(
          new RetryLimits(0.2, 100, 10_000),
          1,
          new SplittableRandom(1),
          Set.of(),
          new SharedKnowledge(
              evidence, RequestRateLimits.ofScheduler(), new StreamOrigins(), new RestTimes()));
  private long nowMillis = 10_000;
  private long nextId = 1;

  @BeforeEach
  void setCatalog() {
    EngineCapabilities engine = new EngineCapabilities(8, 30_000, 4, true, true);
    core.setCatalog(
        new Catalog(
            1,
            List.of(),
            List.of(new ServiceSpec("s", 100, engine)),
            RequestLimits.standard(),
            null));
  }

  private static BackendRecord engine(String id) {
    return BackendRecord.newBuilder()
        .setId(id)
        .setService("s")
        .setAddress("10.0.0.1:80")
        .setDataCentre("a")
        .setSlots(8)
        .setSequence(1)
        .build();
  }

  private void registerEngines(int first, int count) {
    for (int i = first; i < first + count; i++) {
      core.updateBackend(engine("i-" + i), nowMillis);
    }
  }

  private PlacementRequest placementRequest(String... parts) {
    return CrashEvidenceTest.request(parts).toBuilder()
        .setId(nextId++)
        .setPriority(1)
        .setPromptTokens(1_000)
        .setMaxOutputTokens(OUTPUT_TOKENS)
        .setHintedOutputTokens(OUTPUT_TOKENS)
        .setTargetLeftMillis(1_500)
        .setDeadlineLeftMillis(30_000)
        .setDataCentre("a")
        .setEngine(true)
        .build();
  }

  private record Placed(RequestId id, String engine) {}

  /** Submits a request that is expected to be placed. */
  private Placed place(String... parts) {
    RequestId id = submit(parts);
    DispatchDecision.Place placement = (DispatchDecision.Place) core.drainDecisions().getFirst();
    return new Placed(id, placement.backend());
  }

  private RequestId submit(String... parts) {
    PlacementRequest request = placementRequest(parts);
    RequestId id = new RequestId("g", request.getId());
    core.submit(id, request, nowMillis);
    return id;
  }

  private void outputContinues(Placed placed) {
    core.outputProgressed(placed.id(), 4, nowMillis);
    nowMillis += 500;
    core.outputProgressed(placed.id(), 40, nowMillis);
  }

  private void crash(String engine) {
    nowMillis += 200;
    core.backendCrashed(engine, nowMillis);
  }

  private List<DispatchDecision> crashThreeEnginesOn(String part) {
    for (int i = 0; i < CrashEvidence.CRASHES_TO_BLOCK; i++) {
      core.drainDecisions();
      crash(place("first", part, "own" + nextId).engine());
    }
    return core.drainDecisions();
  }

  private RejectionReason rejectionOf(String... parts) {
    submit(parts);
    return ((DispatchDecision.Reject) core.drainDecisions().getFirst()).reason();
  }

  @Test
  void requests_with_a_part_on_which_three_engines_crashed_are_rejected_at_once() {
    registerEngines(1, 6);

    crashThreeEnginesOn("bad");

    assertThat(rejectionOf("first", "bad", "own")).isEqualTo(RejectionReason.CRASHES_BACKENDS);
    assertThat(rejectionOf("second", "bad", "own")).isEqualTo(RejectionReason.CRASHES_BACKENDS);
  }

  @Test
  void requests_with_the_same_first_part_and_other_parts_are_still_placed() {
    registerEngines(1, 6);
    outputContinues(place("first", "good", "own"));

    crashThreeEnginesOn("bad");

    assertThat(place("first", "good", "other").engine()).isNotEmpty();
    assertThat(evidence.blockedParts(nowMillis)).containsExactly("bad");
  }

  @Test
  void a_part_that_other_requests_share_is_not_blocked_although_none_of_them_had_output() {
    registerEngines(1, 8);
    for (int i = 0; i < 3; i++) {
      Placed crashing = place("first", "bad", "own" + i);
      place("first", "good" + i, "other" + i);
      crash(crashing.engine());
    }
    core.drainDecisions();

    assertThat(evidence.blockedParts(nowMillis)).containsExactly("bad");
    assertThat(place("first", "good", "own").engine()).isNotEmpty();
  }

  @Test
  void running_requests_without_output_are_stopped_when_their_part_is_blocked() {
    registerEngines(1, 6);
    List<Placed> running = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      running.add(place("f" + i, "bad", "own" + i));
    }
    Placed good = place("g", "good", "own");
    List<String> crashed = running.stream().map(Placed::engine).distinct().limit(3).toList();

    crashed.forEach(this::crash);

    List<RequestId> stopped =
        core.drainDecisions().stream()
            .filter(decision -> decision instanceof DispatchDecision.Stop)
            .map(DispatchDecision::requestId)
            .toList();
    assertThat(stopped)
        .containsExactlyInAnyOrderElementsOf(
            running.stream()
                .filter(placed -> !crashed.contains(placed.engine()))
                .map(Placed::id)
                .toList())
        .doesNotContain(good.id());
  }

  @Test
  void a_crashed_engine_gets_no_request_until_output_shows_that_it_runs() {
    registerEngines(1, 1);
    Placed placed = place("a", "b", "own");
    core.outputProgressed(placed.id(), 4, nowMillis);

    crash("i-1");
    submit("a", "c", "own");
    assertThat(core.drainDecisions())
        .noneMatch(decision -> decision instanceof DispatchDecision.Place);

    nowMillis += 1_000;
    core.outputProgressed(placed.id(), 40, nowMillis);
    core.tick(nowMillis);
    assertThat(place("a", "c", "other").engine()).isEqualTo("i-1");
  }

  @Test
  void a_crashed_engine_that_stays_registered_is_used_again_after_a_time() {
    registerEngines(1, 1);
    crash("i-1");

    nowMillis += BackendCrashes.OUT_OF_USE_MILLIS;
    core.tick(nowMillis);

    assertThat(place("a", "b", "own").engine()).isEqualTo("i-1");
  }

  @Test
  void engines_that_leave_are_no_evidence() {
    registerEngines(1, 6);
    for (int i = 0; i < 3; i++) {
      Placed placed = place("first", "part", "own" + i);
      core.removeBackend(placed.engine(), nowMillis);
      core.drainDecisions();
      crash(placed.engine());
    }

    assertThat(evidence.blockedParts(nowMillis)).isEmpty();
  }

  @Test
  void a_lost_data_centre_is_no_evidence() {
    registerEngines(1, 6);
    List<Placed> running = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      running.add(place("first", "part", "own" + i));
    }
    for (Placed placed : running) {
      core.backendCrashed(placed.engine(), nowMillis);
      nowMillis += 5;
    }

    assertThat(evidence.blockedParts(nowMillis)).isEmpty();
  }

  @Test
  void the_next_scheduler_and_local_fallback_keep_the_blocks() {
    registerEngines(1, 6);
    crashThreeEnginesOn("bad");
    DispatchCore successor =
        new DispatchCore(new RetryLimits(0.2, 10, 10_000), 1, new SplittableRandom(2));
    successor.updateBackend(engine("i-9"), 0);

    successor.restoreCrashes(evidence.export(nowMillis), 0);
    successor.submit(new RequestId("g", 99), placementRequest("first", "bad", "own"), 0);

    assertThat(((DispatchDecision.Reject) successor.drainDecisions().getFirst()).reason())
        .isEqualTo(RejectionReason.CRASHES_BACKENDS);
  }

  /** Engines crash for their own reasons under requests of which all are sound. */
  @Test
  void crashes_for_other_reasons_block_no_part() {
    for (int seed = 1; seed <= 20; seed++) {
      BackendCrashesTest fresh = new BackendCrashesTest();
      fresh.setCatalog();
      assertThat(fresh.playRandomCrashes(new SplittableRandom(seed))).as("seed %d", seed).isZero();
    }
  }

  /** Returns the number of blocked parts after a minute in which an engine crashes each second. */
  private int playRandomCrashes(SplittableRandom random) {
    registerEngines(1, 10);
    int nextEngine = 11;
    List<Placed> running = new ArrayList<>();
    long endMillis = nowMillis + 60_000;
    long nextCrashMillis = nowMillis + 1_000;
    while (nowMillis < endMillis) {
      nowMillis += 50;
      RequestId id =
          submit("first" + random.nextInt(3), "subject" + random.nextInt(20), "own" + nextId);
      for (DispatchDecision decision : core.drainDecisions()) {
        if (decision instanceof DispatchDecision.Place place && place.requestId().equals(id)) {
          running.add(new Placed(id, place.backend()));
        }
      }
      // Each request has its first output after 0.3 s and ends after 0.8 s, on average.
      if (!running.isEmpty() && random.nextInt(3) > 0) {
        Placed placed = running.get(random.nextInt(running.size()));
        core.outputProgressed(placed.id(), 4, nowMillis);
        core.requestEnded(
            placed.id(), DispatchOutcome.DISPATCH_OUTCOME_ANSWERED, OUTPUT_TOKENS, nowMillis);
        running.remove(placed);
      }
      if (nowMillis >= nextCrashMillis && !running.isEmpty()) {
        nextCrashMillis += 1_000;
        String crashed = running.get(random.nextInt(running.size())).engine();
        core.backendCrashed(crashed, nowMillis);
        for (Placed placed : List.copyOf(running)) {
          if (placed.engine().equals(crashed)) {
            core.requestEnded(placed.id(), DispatchOutcome.DISPATCH_OUTCOME_FAILED, 0, nowMillis);
            running.remove(placed);
          }
        }
        core.removeBackend(crashed, nowMillis);
        registerEngines(nextEngine++, 1);
        core.drainDecisions();
      }
    }
    return evidence.blockedParts(nowMillis).size();
  }
}
