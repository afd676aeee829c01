package org.curranthaven.internal.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Drives the engine model in simulated time and checks its events and memory use. */
class EngineModelTest {
  private static final long HOUR_MICROS = 3_600_000_000L;

  private static EngineModel engine(int blocks) {
    return new EngineModel(EngineOptions.standard().withBlocks(blocks));
  }

  private static EngineModel.EngineRequest request(
      String generation, int promptTokens, int outputTokens, int priority) {
    return new EngineModel.EngineRequest(generation, promptTokens, outputTokens, priority, 0, 0);
  }

  @Test
  void a_generation_produces_every_token_once_and_in_order() {
    EngineModel engine = engine(100);
    engine.submit(request("g", 40, 30, 0), 0);

    List<EngineEvent> events = engine.advance(HOUR_MICROS);

    assertThat(events).hasSize(30);
    for (int i = 0; i < 30; i++) {
      assertThat(((EngineEvent.Token) events.get(i)).index()).isEqualTo(i);
    }
    assertThat(((EngineEvent.Token) events.getLast()).last()).isTrue();
    assertThat(engine.blocksUsed()).isZero();
  }

  @Test
  void full_memory_preempts_the_least_urgent_generation_and_both_complete() {
    EngineModel engine = engine(20);
    engine.submit(request("urgent", 100, 100, 0), 0);
    engine.submit(request("draft", 100, 100, 1), 0);

    List<EngineEvent> events = engine.advance(HOUR_MICROS);

    assertThat(engine.preemptionCount()).isPositive();
    assertThat(events)
        .filteredOn(EngineEvent.Preempted.class::isInstance)
        .allMatch(event -> event.generation().equals("draft"));
    assertThat(events).filteredOn(EngineEvent.Token.class::isInstance).hasSize(200);
  }

  @Test
  void a_cancelled_generation_frees_its_memory() {
    EngineModel engine = engine(100);
    engine.submit(request("g", 160, 1_000, 0), 0);
    engine.advance(1_000_000);
    assertThat(engine.blocksUsed()).isPositive();

    engine.cancel("g");

    assertThat(engine.blocksUsed()).isZero();
    assertThat(engine.advance(HOUR_MICROS)).isEmpty();
  }

  @Test
  void steps_take_longer_when_more_generations_decode() {
    assertThat(lastTokenMicros(8)).isGreaterThan(lastTokenMicros(1));
  }

  private static long lastTokenMicros(int generationCount) {
    EngineModel engine = engine(2_000);
    for (int i = 0; i < generationCount; i++) {
      engine.submit(request("g" + i, 10, 50, 0), 0);
    }
    return ((EngineEvent.Token) engine.advance(HOUR_MICROS).getLast()).atMicros();
  }
}
