package org.curranthaven.internal.host;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.SplittableRandom;
import java.util.UUID;
import org.curranthaven.internal.settings.Json;
import org.curranthaven.internal.standin.GuaranteeViolations;
import org.curranthaven.internal.standin.LocalFleet;
import org.curranthaven.internal.standin.ResponseChecker;
import org.curranthaven.internal.standin.RunLog;
import org.curranthaven.internal.standin.StandinEngine;
import org.curranthaven.internal.standin.StandinService;
import org.curranthaven.internal.standin.Workloads;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;

/** A fleet of three hosts on loopback; conditions are awaited, and no verdict rests on time. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class FleetTest {
  private final RunLog runLog = new RunLog();
  private final SplittableRandom random = new SplittableRandom(5);
  private LocalFleet fleet;
  private FleetClient client;
  private StandinEngine story;
  private StandinEngine secondStory;
  private StandinService desk;

  @BeforeAll
  void startFleet() throws IOException, InterruptedException {
    fleet = LocalFleet.start(3, 3);
    client = new FleetClient(fleet);
    story = StandinEngine.start(client.standin("story-1", Workloads.STORY_MODEL), runLog);
    secondStory = StandinEngine.start(client.standin("story-2", Workloads.STORY_MODEL), runLog);
    desk = StandinService.start(client.standin("desk-1", Workloads.DESK_SERVICE), runLog);
    FleetClient.await(
        () -> client.change(1, "setup", 0, Workloads.configurationEdits()).statusCode() == 200);
    assertThat(fleet.awaitReady(FleetClient.PATIENCE_MILLIS)).isTrue();
    FleetClient.await(() -> client.get(0, "/admin/v1/backends").size() == 3);
    FleetClient.await(() -> client.get(1, "/admin/v1/backends").size() == 3);
  }

  @AfterAll
  void stopFleet() {
    story.close();
    secondStory.close();
    desk.close();
    fleet.close();
  }

  private String nonce() {
    return new UUID(random.nextLong(), random.nextLong()).toString();
  }

  private static String prompt(String nonce, int tokens, boolean stream) {
    return "{\"model\":\"story\",\"stream\":%s,\"prompt\":\"[[nonce=%s tokens=%d]]\"}"
        .formatted(stream, nonce, tokens);
  }

  @Test
  void a_streamed_answer_reaches_its_caller_whole_and_in_order()
      throws IOException, InterruptedException {
    String nonce = nonce();

    HttpResponse<String> response =
        client.send(client.call(0, "/v1/completions", "draft", prompt(nonce, 50, true)));

    GuaranteeViolations tally = new GuaranteeViolations();
    ResponseChecker check = new ResponseChecker(tally, nonce);
    for (String line : response.body().lines().toList()) {
      if (line.startsWith("data: {")) {
        check.checkText(Json.LENIENT.readTree(line.substring(6)).at("/choices/0/text").asText());
      }
    }
    check.checkCompleteness(50);
    assertThat(response.body()).endsWith("data: [DONE]\n\n");
    assertThat(check.nextTokenIndex()).isEqualTo(50);
    assertThat(tally.counts().noViolations()).isTrue();
  }

  @Test
  void a_whole_answer_has_usage_figures_and_a_finish_reason()
      throws IOException, InterruptedException {
    HttpResponse<String> response =
        client.send(client.call(1, "/v1/completions", "draft", prompt(nonce(), 12, false)));

    JsonNode answer = Json.LENIENT.readTree(response.body());
    assertThat(answer.at("/usage/completion_tokens").asInt()).isEqualTo(12);
    assertThat(answer.at("/choices/0/finish_reason").asText()).isEqualTo("stop");
  }

  @Test
  void a_stream_whose_connection_went_silent_is_resumed_without_loss()
      throws IOException, InterruptedException {
    String nonce = nonce();
    Thread silencer =
        Thread.ofVirtual()
            .start(
                () -> {
                  while (!Thread.interrupted()
                      && !story.stallOneConnection()
                      && !secondStory.stallOneConnection()) {
                    Thread.onSpinWait();
                  }
                });

    HttpResponse<String> response =
        client.send(client.call(0, "/v1/completions", "draft", prompt(nonce, 200, false)));
    silencer.interrupt();

    JsonNode answer = Json.LENIENT.readTree(response.body());
    GuaranteeViolations tally = new GuaranteeViolations();
    ResponseChecker check = new ResponseChecker(tally, nonce);
    check.checkText(answer.at("/choices/0/text").asText());
    check.checkCompleteness(200);
    assertThat(tally.counts().noViolations()).isTrue();
    assertThat(runLog.startCount(nonce)).isEqualTo(1);
  }

  @Test
  void a_call_that_may_not_repeat_runs_once_whatever_host_it_is_sent_through()
      throws IOException, InterruptedException {
    String nonce = nonce();
    String key = FleetClient.key();
    String body = "{\"nonce\":\"" + nonce + "\"}";

    for (int i = 0; i < 6; i++) {
      HttpResponse<String> response =
          client.send(
              client
                  .call(i % 3, "/services/desk/hold", "hold", body)
                  .header("Idempotency-Key", key));
      assertThat(response.statusCode()).isEqualTo(200);
      assertThat(response.body()).contains(nonce);
    }

    assertThat(runLog.startCount(nonce)).isEqualTo(1);
  }

  @Test
  void a_call_whose_answer_was_lost_is_not_run_again() throws IOException, InterruptedException {
    String nonce = nonce();
    String key = FleetClient.key();
    String body = "{\"nonce\":\"" + nonce + "\"}";
    desk.withholdNextResponses(1);

    HttpResponse<String> first =
        client.send(
            client.call(0, "/services/desk/hold", "hold", body).header("Idempotency-Key", key));
    HttpResponse<String> second =
        client.send(
            client.call(1, "/services/desk/hold", "hold", body).header("Idempotency-Key", key));

    assertThat(Json.LENIENT.readTree(first.body()).path("ran").asText()).isEqualTo("unknown");
    assertThat(Json.LENIENT.readTree(second.body()).path("ran").asText()).isEqualTo("unknown");
    assertThat(runLog.startCount(nonce)).isEqualTo(1);
  }

  @Test
  void a_key_used_with_another_body_is_refused() throws IOException, InterruptedException {
    String key = FleetClient.key();
    client.send(
        client
            .call(0, "/services/desk/hold", "hold", "{\"nonce\":\"a1\"}")
            .header("Idempotency-Key", key));

    HttpResponse<String> other =
        client.send(
            client
                .call(1, "/services/desk/hold", "hold", "{\"nonce\":\"a2\"}")
                .header("Idempotency-Key", key));

    assertThat(Json.LENIENT.readTree(other.body()).path("code").asInt()).isEqualTo(1008);
    assertThat(runLog.startCount("a2")).isZero();
  }

  @Test
  void bad_input_gets_a_numbered_code_and_did_not_run() throws IOException, InterruptedException {
    assertThat(codeOf(client.call(0, "/v1/completions", "draft", "{not json"))).isEqualTo(1001);
    assertThat(codeOf(client.call(0, "/v1/completions", "nosuch", prompt("n", 1, false))))
        .isEqualTo(1002);
    assertThat(
            codeOf(
                client.call(0, "/v1/completions", "draft", "{\"model\":\"x\",\"prompt\":\"y\"}")))
        .isEqualTo(1003);
    assertThat(codeOf(client.call(0, "/v1/completions", "draft", "\u0000\u0001binary")))
        .isEqualTo(1001);
    assertThat(
            codeOf(
                client.call(
                    0,
                    "/v1/completions",
                    "draft",
                    "{\"model\":\"story\",\"prompt\":\"x\",\"max_tokens\":-4}")))
        .isEqualTo(1006);
    assertThat(codeOf(client.call(0, "/v1/completions", "draft", "x".repeat(1_100_000))))
        .isEqualTo(1005);
    assertThat(codeOf(client.call(0, "/services/nosuch/x", "hold", "{}"))).isEqualTo(1007);
    assertThat(codeOf(client.call(0, "/nowhere", "hold", "{}"))).isEqualTo(1012);
  }

  private int codeOf(HttpRequest.Builder request) throws IOException, InterruptedException {
    JsonNode answer = Json.LENIENT.readTree(client.send(request).body());
    assertThat(answer.path("ran").asText()).isEqualTo("no");
    assertThat(answer.at("/error/message").asText()).isNotBlank();
    return answer.path("code").asInt();
  }

  @Test
  void a_change_sent_again_gets_its_first_answer_and_a_racing_one_a_conflict()
      throws IOException, InterruptedException {
    HttpResponse<String> again = client.change(1, "setup", 0, Workloads.configurationEdits());
    HttpResponse<String> racing = client.change(1, "other", 0, Workloads.configurationEdits());

    assertThat(again.statusCode()).isEqualTo(200);
    assertThat(Json.LENIENT.readTree(racing.body()).path("code").asInt()).isEqualTo(4003);
    assertThat(racing.body()).contains("setup");
  }
}
