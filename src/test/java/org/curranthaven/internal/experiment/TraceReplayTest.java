package org.curranthaven.internal.experiment;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.curranthaven.internal.settings.Json;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Replays traces recorded from the running system and compares their expected outcomes. */
class TraceReplayTest {
  private static final Path TRACE_FOLDER = Path.of("src/test/resources/traces");

  private static List<String> trace(String name) throws IOException {
    return Files.readAllLines(TRACE_FOLDER.resolve(name + ".jsonl"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"both-users-calm", "both-users-engine-lost"})
  void a_trace_has_its_expected_outcomes(String name) throws IOException {
    TraceReplay.Outcomes expected =
        Json.MAPPER.readValue(
            Files.readString(TRACE_FOLDER.resolve(name + ".expect.json")),
            TraceReplay.Outcomes.class);

    TraceReplay.Outcomes outcomes = TraceReplay.run(trace(name)).outcomes();

    assertThat(outcomes).isEqualTo(expected);
    assertThat(outcomes.sentToUnusable()).isZero();
    assertThat(outcomes.sentTwice()).isZero();
  }

  @ParameterizedTest
  @ValueSource(strings = {"both-users-calm", "both-users-engine-lost"})
  void two_replays_of_a_trace_give_the_same_decisions(String name) throws IOException {
    assertThat(TraceReplay.run(trace(name)).decisions())
        .isEqualTo(TraceReplay.run(trace(name)).decisions());
  }
}
