package org.curranthaven.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.curranthaven.internal.dispatch.SizeOutcomes.Result;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.junit.jupiter.api.Test;

/** Guards against large requests that are lost without a line that tells at which step. */
class SizeOutcomesTest {
  private static PlacementRequest prompt(int tokens) {
    return PlacementRequest.newBuilder()
        .setService("engines")
        .setPriority(1)
        .setEngine(true)
        .setPromptTokens(tokens)
        .build();
  }

  @Test
  void each_size_has_a_line_with_what_became_of_its_requests() {
    SizeOutcomes outcomes = new SizeOutcomes();
    outcomes.record(prompt(4_097), Result.REJECTED_PROMPT_TOO_LONG);
    outcomes.record(prompt(4_096), Result.PLACED_AT_ONCE);
    outcomes.record(prompt(2_049), Result.PLACED_AT_ONCE);
    outcomes.recordEnd(prompt(3_000), DispatchOutcome.DISPATCH_OUTCOME_CONNECTION_LOST);
    outcomes.recordEnd(prompt(3_000), DispatchOutcome.DISPATCH_OUTCOME_ANSWERED);

    assertThat(outcomes.drain(10_000))
        .containsExactly(
            "requests by size: service engines, priority 1, prompts of up to 4096 tokens: "
                + "{PLACED_AT_ONCE=2, BROKEN_OFF=1}",
            "requests by size: service engines, priority 1, prompts of up to 8192 tokens: "
                + "{REJECTED_PROMPT_TOO_LONG=1}");
  }

  @Test
  void counts_are_reported_once_and_at_intervals() {
    SizeOutcomes outcomes = new SizeOutcomes();
    outcomes.record(prompt(100), Result.PLACED_LATE);

    assertThat(outcomes.drain(9_999)).isEmpty();
    assertThat(outcomes.drain(10_000)).hasSize(1);
    assertThat(outcomes.drain(20_000)).isEmpty();
  }

  @Test
  void requests_to_plain_services_are_not_counted() {
    SizeOutcomes outcomes = new SizeOutcomes();
    outcomes.record(
        PlacementRequest.newBuilder().setService("plain").build(), Result.PLACED_AT_ONCE);

    assertThat(outcomes.drain(10_000)).isEmpty();
  }
}
