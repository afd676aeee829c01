package org.curranthaven.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.curranthaven.internal.dispatch.ColdFixture.engine;
import static org.curranthaven.internal.dispatch.ColdFixture.mostInWindow;
import static org.curranthaven.internal.dispatch.ColdFixture.newCore;
import static org.curranthaven.internal.dispatch.ColdFixture.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.junit.jupiter.api.Test;

/**
 * Guards against bursts to the cold engines of a data centre that returns at peak load, and against
 * warm engines that get what the cold ones cannot take.
 */
class ColdDataCentreTest {
  private static final int WARM_ENGINES = 27;
  private static final int COLD_ENGINES = 15;
  private static final int PROMPT_TOKENS = 300;
  private static final int PROMPT_TOKENS_PER_MILLI = 14;
  private static final int OUTPUT_TOKENS = 13;
  private static final long OUTPUT_MILLIS = 30;
  private static final long TARGET_MILLIS = 1_500;
  private static final long RETURN_MILLIS = 3_000;
  private static final long COLD_MILLIS = 2_000;
  private static final long END_MILLIS = 8_000;

  /**
   * Pairs of requests a second; more than the 1,260 requests/s that the warm engines can handle.
   */
  private static final int PAIRS_PER_SECOND = 700;

  private final RequestRateLimits limits = RequestRateLimits.ofScheduler();
  private final DispatchCore core = newCore(1, limits, 1);
  private final RandomGenerator random = new SplittableRandom(7);
  private final Map<String, SimulatedEngine> engines = new HashMap<>();
  private final PriorityQueue<Step> steps =
      new PriorityQueue<>(Comparator.comparingLong(Step::atMillis));
  private long nextId = 1;
  private long replies;
  private long lateReplies;

  /** First reply or end of a request. */
  private record Step(
      long atMillis, RequestId requestId, long submittedAtMillis, boolean firstReply) {}

  /** Engine that reads prompts one after the other. */
  private static final class SimulatedEngine {
    private final List<Long> placedAtMillis = new ArrayList<>();
    private long readUntilMillis;
  }

  private final Map<RequestId, Long> submittedAtMillis = new HashMap<>();

  private void registerWarmEngines() {
    for (int i = 0; i < WARM_ENGINES; i++) {
      limits.coldServers().restore(engine(i, 0), 0);
      core.updateBackend(engine(i, 0), 0);
    }
  }

  private void registerColdEngines() {
    for (int i = WARM_ENGINES; i < WARM_ENGINES + COLD_ENGINES; i++) {
      core.updateBackend(engine(i, COLD_MILLIS), RETURN_MILLIS);
    }
  }

  private void submit(long nowMillis) {
    RequestId requestId = new RequestId("g", nextId);
    submittedAtMillis.put(requestId, nowMillis);
    core.submit(
        requestId,
        request("engines")
            .setId(nextId++)
            .setEngine(true)
            .setRoute("short")
            .setPromptTokens(PROMPT_TOKENS)
            .setMaxOutputTokens(OUTPUT_TOKENS)
            .setTargetLeftMillis(TARGET_MILLIS)
            .build(),
        nowMillis);
  }

  private void runSteps(long nowMillis) {
    while (!steps.isEmpty() && steps.peek().atMillis() <= nowMillis) {
      Step step = steps.remove();
      if (step.firstReply()) {
        replies++;
        lateReplies += nowMillis - step.submittedAtMillis() > TARGET_MILLIS ? 1 : 0;
        core.outputProgressed(step.requestId(), 4, nowMillis);
        steps.add(
            new Step(nowMillis + OUTPUT_MILLIS, step.requestId(), step.submittedAtMillis(), false));
      } else {
        core.requestEnded(
            step.requestId(), DispatchOutcome.DISPATCH_OUTCOME_ANSWERED, OUTPUT_TOKENS, nowMillis);
      }
    }
  }

  private void applyDecisions(long nowMillis) {
    for (DispatchDecision decision : core.drainDecisions()) {
      if (decision instanceof DispatchDecision.Place place) {
        SimulatedEngine engine =
            engines.computeIfAbsent(place.backend(), id -> new SimulatedEngine());
        engine.placedAtMillis.add(nowMillis);
        engine.readUntilMillis =
            Math.max(engine.readUntilMillis, nowMillis) + PROMPT_TOKENS / PROMPT_TOKENS_PER_MILLI;
        long submittedMillis = submittedAtMillis.getOrDefault(place.requestId(), nowMillis);
        steps.add(new Step(engine.readUntilMillis, place.requestId(), submittedMillis, true));
      }
    }
  }

  private void run() {
    registerWarmEngines();
    for (long nowMillis = 0; nowMillis < END_MILLIS; nowMillis++) {
      if (nowMillis == RETURN_MILLIS) {
        registerColdEngines();
      }
      runSteps(nowMillis);
      if (random.nextDouble() * 1_000 < PAIRS_PER_SECOND) {
        submit(nowMillis);
        submit(nowMillis);
      }
      if (nowMillis % 40 == 0) {
        core.tick(nowMillis);
      }
      applyDecisions(nowMillis);
    }
  }

  @Test
  void cold_engines_that_return_at_peak_load_get_their_rate_and_warm_ones_are_not_overrun() {
    run();

    for (int i = WARM_ENGINES; i < WARM_ENGINES + COLD_ENGINES; i++) {
      List<Long> whileCold =
          engines.getOrDefault("i-" + i, new SimulatedEngine()).placedAtMillis.stream()
              .filter(placedAt -> placedAt < RETURN_MILLIS + COLD_MILLIS)
              .toList();
      assertThat(mostInWindow(whileCold)).isBetween(20L, 27L);
    }
    assertThat(replies).isGreaterThan(8_000);
    assertThat(lateReplies).isLessThan(replies / 20);
  }
}
