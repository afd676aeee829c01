package org.curranthaven.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.EngineCapabilities;
import org.curranthaven.internal.catalog.RequestLimits;
import org.curranthaven.internal.catalog.ServiceSpec;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.curranthaven.internal.transport.wire.LearntCapacity;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.junit.jupiter.api.Test;

/**
 * Guards against long streams on engines whose pauses between events exceed the route's target, and
 * against engines of which a new leader or a restarted process assumes what no longer holds.
 */
class EnginePlacementByCapacityTest {
  private static final int ENGINES = 4;
  private static final int GAP_TARGET_MILLIS = 180;
  private static final String SLOW = "engine-0";
  private static final double USUAL_TOKEN_MILLIS = 9;
  private static final double SLOW_TOKEN_MILLIS = 20;

  private final SharedKnowledge knowledge = SharedKnowledge.ofScheduler();
  private final DispatchCore core = newCore(knowledge);
  private long nowMillis = 1_000;
  private long nextId = 1;

  private static DispatchCore newCore(SharedKnowledge knowledge) {
    DispatchCore core =
        new DispatchCore(
            new RetryLimits(0.2, 10, 10_000), 1, new SplittableRandom(1), Set.of(), knowledge);
    core.setCatalog(
        new Catalog(
            1,
            List.of(),
            List.of(
                new ServiceSpec("engines", 100, new EngineCapabilities(24, 27_000, 4, true, true))),
            RequestLimits.standard(),
            null));
    for (int i = 0; i < ENGINES; i++) {
      core.updateBackend(engine("engine-" + i), 0);
    }
    return core;
  }

  private static BackendRecord engine(String id) {
    return BackendRecord.newBuilder()
        .setId(id)
        .setService("engines")
        .setDataCentre("a")
        .setSlots(24)
        .setSequence(1)
        .build();
  }

  private static PlacementRequest.Builder stream(int outputTokens) {
    return PlacementRequest.newBuilder()
        .setService("engines")
        .setRoute("streams")
        .setPromptTokens(1_000)
        .setMaxOutputTokens(outputTokens)
        .setHintedOutputTokens(outputTokens)
        .setTargetLeftMillis(1_800)
        .setDeadlineLeftMillis(30_000)
        .setDataCentre("a")
        .setGapTargetMillis(GAP_TARGET_MILLIS)
        .setEngine(true);
  }

  private record Placed(RequestId id, String engine) {}

  private Placed place(PlacementRequest.Builder request, String... excluded) {
    RequestId id = new RequestId("gateway", nextId++);
    core.submit(id, request.setId(id.id()).addAllExcluded(List.of(excluded)).build(), nowMillis);
    return core.drainDecisions().stream()
        .filter(decision -> decision instanceof DispatchDecision.Place)
        .map(decision -> new Placed(id, ((DispatchDecision.Place) decision).backend()))
        .findFirst()
        .orElse(new Placed(id, ""));
  }

  private void state(String engine, int percent) {
    core.slownessStated(engine, percent, nowMillis);
  }

  /** Runs streams on all engines at the same time, until the speeds are known. */
  private void learnSpeeds() {
    for (int round = 0; round < 6; round++) {
      stateAll(100);
      runOnEach();
    }
  }

  private void runOnEach() {
    List<Placed> streams = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      String[] others = allBut("engine-" + i);
      streams.add(place(stream(200), others));
      streams.add(place(stream(200), others));
    }
    reportFirstOutput(streams, 150, false);
    reportFirstOutput(streams, 150, true);
    for (int millis = 500; millis <= 2_000; millis += 500) {
      nowMillis += 500;
      for (Placed stream : streams) {
        core.outputProgressed(stream.id(), outputAfter(stream.engine(), millis), nowMillis);
      }
    }
    for (Placed stream : streams) {
      int tokens = outputAfter(stream.engine(), 2_000);
      core.requestEnded(stream.id(), DispatchOutcome.DISPATCH_OUTCOME_ANSWERED, tokens, nowMillis);
    }
    core.drainDecisions();
  }

  private void reportFirstOutput(List<Placed> streams, long afterMillis, boolean ofSlow) {
    nowMillis += afterMillis;
    for (Placed stream : streams) {
      if (stream.engine().equals(SLOW) == ofSlow) {
        core.outputProgressed(stream.id(), 1, nowMillis);
      }
    }
  }

  private static int outputAfter(String engine, int millis) {
    return (int) (millis / (engine.equals(SLOW) ? SLOW_TOKEN_MILLIS : USUAL_TOKEN_MILLIS));
  }

  private static String[] allBut(String engine) {
    return IntStream.range(0, ENGINES)
        .mapToObj(i -> "engine-" + i)
        .filter(id -> !id.equals(engine))
        .toArray(String[]::new);
  }

  private void stateAll(int percent) {
    for (int i = 0; i < ENGINES; i++) {
      state("engine-" + i, percent);
    }
  }

  private List<String> placeStreams(int count, int outputTokens) {
    List<String> engines = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      engines.add(place(stream(outputTokens)).engine());
    }
    return engines;
  }

  @Test
  void long_streams_avoid_an_engine_on_which_a_slow_phase_would_pause_them_too_long() {
    learnSpeeds();
    stateAll(250);
    nowMillis += 1_000;
    stateAll(100);

    assertThat(placeStreams(12, 750)).doesNotContain(SLOW, "");
  }

  @Test
  void long_streams_use_a_slow_engine_whose_pauses_keep_the_target() {
    learnSpeeds();
    stateAll(100);

    assertThat(placeStreams(16, 750)).contains(SLOW);
  }

  @Test
  void short_streams_use_the_engine_that_long_ones_avoid() {
    learnSpeeds();
    stateAll(250);
    nowMillis += 1_000;
    stateAll(100);
    placeStreams(12, 750);

    assertThat(placeStreams(10, 13)).contains(SLOW);
  }

  @Test
  void a_stream_avoids_an_engine_in_a_slow_phase_and_uses_it_again_once_the_statement_is_old() {
    stateAll(100);
    state("engine-1", 400);
    assertThat(placeStreams(3, 13)).doesNotContain("engine-1");

    nowMillis += PresentSlowness.FRESH_MILLIS;
    assertThat(placeStreams(3, 13)).contains("engine-1");
  }

  @Test
  void a_new_leader_and_a_gateway_place_by_the_figures_that_others_learnt() {
    learnSpeeds();
    stateAll(100);
    List<LearntCapacity> learnt = knowledge.capacities().export(nowMillis);
    SharedKnowledge ofNext = SharedKnowledge.ofScheduler();
    DispatchCore next = newCore(ofNext);

    next.restoreCapacities(learnt, nowMillis);

    assertThat(lightMillis(ofNext, SLOW) / lightMillis(ofNext, "engine-1")).isGreaterThan(1.6);
    assertThat(learnt).allMatch(record -> record.getSerializedSize() <= 32);
  }

  private double lightMillis(SharedKnowledge known, String id) {
    BackendState backend = new BackendState(engine(id), nowMillis);
    ServerCapacity capacity = known.capacities().ofActive(backend, nowMillis);
    assertThat(capacity).isNotNull();
    return capacity == null ? 0 : capacity.curve(nowMillis).lightMillis();
  }

  @Test
  void an_engine_that_crashed_is_learnt_anew() {
    learnSpeeds();
    stateAll(100);

    core.backendCrashed(SLOW, nowMillis);

    assertThat(lightMillis(knowledge, SLOW) / lightMillis(knowledge, "engine-1")).isLessThan(1.4);
  }

  @Test
  void figures_are_sent_once_and_again_only_after_a_noticeable_change() {
    learnSpeeds();
    assertThat(knowledge.capacities().publishChanged(nowMillis)).hasSize(ENGINES);
    assertThat(knowledge.capacities().exportSince(0, nowMillis)).hasSize(ENGINES);
    long version = knowledge.capacities().version();

    learnSpeeds();

    assertThat(knowledge.capacities().publishChanged(nowMillis)).isEmpty();
    assertThat(knowledge.capacities().version()).isEqualTo(version);
    assertThat(knowledge.capacities().exportSince(version, nowMillis)).isEmpty();
  }

  @Test
  void without_statements_nothing_is_learnt() {
    placeStreams(3, 13);

    assertThat(knowledge.capacities().export(nowMillis)).isEmpty();
    assertThat(knowledge.capacities().isActive("engines")).isFalse();
  }
}
