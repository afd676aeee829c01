package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against requests that crash one engine after the other: what they have in common is one
 * part of their prompts, on which every engine crashes as soon as it begins to output.
 */
@Timeout(120)
class CrashingPromptTest extends RoutedFleetFixture {
  /** Crashes after which requests with the part may reach a few more engines, and no others. */
  private static final int CRASHES_UNTIL_VERDICT = 5;

  private static final int REQUESTS_AFTER_VERDICT = 3;
  private static final String CRASHING_PART = "bad";

  private final List<FakeBackend> engines = new ArrayList<>();
  private int nextEngine = 1;
  private int nextPrompt = 1;

  @AfterEach
  void closeEngines() throws IOException {
    for (FakeBackend engine : engines) {
      engine.close();
    }
  }

  /** Starts an engine that crashes before its first event of a request with the crashing part. */
  private void startEngine() throws Exception {
    List<FakeBackend> self = new ArrayList<>();
    FakeBackend engine =
        new FakeBackend(
            (request, connection) -> {
              if (request.header("Prompt-Prefix").contains(CRASHING_PART)) {
                self.getFirst().close();
              } else if (request.line().contains("kv-move")) {
                FakeBackend.write(connection, "HTTP/1.1 404 X\r\nContent-Length: 2\r\n\r\n{}");
              } else {
                FakeBackend.write(
                    connection,
                    FakeBackend.streamResponseHead(request)
                        + FakeBackend.event(1)
                        + FakeBackend.chunk(""));
              }
            });
    self.add(engine);
    engines.add(engine);
    register("i-" + nextEngine++, engine, "ready", 1, "engines");
  }

  /** Sends a request whose other parts are a shared first part and a last part of its own. */
  private String send(String sharedPart) throws Exception {
    String parts = "f1:79,%s:200,own%d:50".formatted(sharedPart, nextPrompt++);
    return sendRawRequest(
        "/stories/1", "Model: m\r\nToken-Count: 1000,100\r\nPrompt-Prefix: " + parts + "\r\n");
  }

  private long arrivalsWithCrashingPart() {
    return engines.stream()
        .flatMap(engine -> engine.received().stream())
        .filter(request -> request.header("Prompt-Prefix").contains(CRASHING_PART))
        .count();
  }

  @Test
  void requests_with_a_part_on_which_engines_crash_are_no_longer_sent_to_engines()
      throws Exception {
    for (int i = 0; i < CRASHES_UNTIL_VERDICT; i++) {
      startEngine();
      startEngine();
      send("good");
      send(CRASHING_PART);
    }
    long arrivalsBefore = arrivalsWithCrashingPart();

    List<String> laterResponses = new ArrayList<>();
    List<String> soundResponses = new ArrayList<>();
    for (int i = 0; i < 3 * REQUESTS_AFTER_VERDICT; i++) {
      startEngine();
      laterResponses.add(send(CRASHING_PART));
      soundResponses.add(send("good"));
    }

    assertThat(arrivalsWithCrashingPart() - arrivalsBefore)
        .isLessThanOrEqualTo(REQUESTS_AFTER_VERDICT);
    assertThat(laterResponses.getLast()).contains(" 503 ").contains("retry-after");
    assertThat(soundResponses).allMatch(response -> response.contains("token 1"));
  }
}
