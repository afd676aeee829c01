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

/**
 * Tests requests of callers and operators against a fleet of three hosts on loopback. The tests
 * await conditions; no assertion depends on timing.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class FleetTest {
  private final RunLog runLog = new RunLog();
  private final SplittableRandom random = new SplittableRandom(5);
  private LocalFleet fleet;
  private FleetClient client;
  private StandinEngine firstEngine;
  private StandinEngine secondEngine;
  private StandinService service;

  @BeforeAll
  void startFleet() throws IOException, InterruptedException {
    fleet = LocalFleet.start(3, 3);
    client = new FleetClient(fleet);
    firstEngine = StandinEngine.start(client.standin("story-1", Workloads.STORY_MODEL), runLog);
    secondEngine = StandinEngine.start(client.standin("story-2", Workloads.STORY_MODEL), runLog);
    service = StandinService.start(client.standin("desk-1", Workloads.DESK_SERVICE), runLog);
    FleetClient.await(
        () -> client.change(1, "setup", 0, Workloads.configurationEdits()).statusCode() == 200);
    assertThat(fleet.awaitReady(FleetClient.CONDITION_TIMEOUT_MILLIS)).isTrue();
    FleetClient.await(() -> client.get(0, "/admin/v1/backends").size() == 3);
    FleetClient.await(() -> client.get(1, "/admin/v1/backends").size() == 3);
  }

  @AfterAll
  void stopFleet() {
    firstEngine.close();
    secondEngine.close();
    service.close();
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
  void a_streamed_response_reaches_its_caller_complete_and_in_order()
      throws IOException, InterruptedException {
    String nonce = nonce();

    HttpResponse<String> response =
        client.send(client.callerRequest(0, "/v1/completions", "draft", prompt(nonce, 50, true)));

    GuaranteeViolations violations = new GuaranteeViolations();
    ResponseChecker responseChecker = new ResponseChecker(violations, nonce);
    for (String line : response.body().lines().toList()) {
      if (line.startsWith("data: {")) {
        responseChecker.checkText(
            Json.LENIENT.readTree(line.substring(6)).at("/choices/0/text").asText());
      }
    }
    responseChecker.checkCompleteness(50);
    assertThat(response.body()).endsWith("data: [DONE]\n\n");
    assertThat(responseChecker.nextTokenIndex()).isEqualTo(50);
    assertThat(violations.counts().noViolations()).isTrue();
  }

  @Test
  void a_non_streamed_response_has_usage_figures_and_a_finish_reason()
      throws IOException, InterruptedException {
    HttpResponse<String> httpResponse =
        client.send(
            client.callerRequest(1, "/v1/completions", "draft", prompt(nonce(), 12, false)));

    JsonNode response = Json.LENIENT.readTree(httpResponse.body());
    assertThat(response.at("/usage/completion_tokens").asInt()).isEqualTo(12);
    assertThat(response.at("/choices/0/finish_reason").asText()).isEqualTo("stop");
  }

  @Test
  void a_generation_on_an_unresponsive_connection_is_resumed_without_loss()
      throws IOException, InterruptedException {
    String nonce = nonce();
    Thread connectionStaller =
        Thread.ofVirtual()
            .start(
                () -> {
                  while (!Thread.interrupted()
                      && !firstEngine.stallOneConnection()
                      && !secondEngine.stallOneConnection()) {
                    Thread.onSpinWait();
                  }
                });

    HttpResponse<String> httpResponse =
        client.send(client.callerRequest(0, "/v1/completions", "draft", prompt(nonce, 200, false)));
    connectionStaller.interrupt();

    JsonNode response = Json.LENIENT.readTree(httpResponse.body());
    GuaranteeViolations violations = new GuaranteeViolations();
    ResponseChecker responseChecker = new ResponseChecker(violations, nonce);
    responseChecker.checkText(response.at("/choices/0/text").asText());
    responseChecker.checkCompleteness(200);
    assertThat(violations.counts().noViolations()).isTrue();
    assertThat(runLog.startCount(nonce)).isEqualTo(1);
  }

  @Test
  void a_request_that_must_not_run_twice_runs_once_when_sent_through_several_hosts()
      throws IOException, InterruptedException {
    String nonce = nonce();
    String idempotencyKey = FleetClient.newIdempotencyKey();
    String body = "{\"nonce\":\"" + nonce + "\"}";

    for (int i = 0; i < 6; i++) {
      HttpResponse<String> response =
          client.send(
              client
                  .callerRequest(i % 3, "/services/desk/hold", "hold", body)
                  .header("Idempotency-Key", idempotencyKey));
      assertThat(response.statusCode()).isEqualTo(200);
      assertThat(response.body()).contains(nonce);
    }

    assertThat(runLog.startCount(nonce)).isEqualTo(1);
  }

  @Test
  void a_request_whose_response_was_lost_is_not_run_again()
      throws IOException, InterruptedException {
    String nonce = nonce();
    String idempotencyKey = FleetClient.newIdempotencyKey();
    String body = "{\"nonce\":\"" + nonce + "\"}";
    service.withholdNextResponses(1);

    HttpResponse<String> firstResponse =
        client.send(
            client
                .callerRequest(0, "/services/desk/hold", "hold", body)
                .header("Idempotency-Key", idempotencyKey));
    HttpResponse<String> secondResponse =
        client.send(
            client
                .callerRequest(1, "/services/desk/hold", "hold", body)
                .header("Idempotency-Key", idempotencyKey));

    assertThat(Json.LENIENT.readTree(firstResponse.body()).path("ran").asText())
        .isEqualTo("unknown");
    assertThat(Json.LENIENT.readTree(secondResponse.body()).path("ran").asText())
        .isEqualTo("unknown");
    assertThat(runLog.startCount(nonce)).isEqualTo(1);
  }

  @Test
  void an_idempotency_key_reused_with_another_body_is_rejected()
      throws IOException, InterruptedException {
    String idempotencyKey = FleetClient.newIdempotencyKey();
    client.send(
        client
            .callerRequest(0, "/services/desk/hold", "hold", "{\"nonce\":\"a1\"}")
            .header("Idempotency-Key", idempotencyKey));

    HttpResponse<String> withOtherBody =
        client.send(
            client
                .callerRequest(1, "/services/desk/hold", "hold", "{\"nonce\":\"a2\"}")
                .header("Idempotency-Key", idempotencyKey));

    assertThat(Json.LENIENT.readTree(withOtherBody.body()).path("code").asInt()).isEqualTo(1008);
    assertThat(runLog.startCount("a2")).isZero();
  }

  @Test
  void invalid_input_gets_its_result_code_and_does_not_run()
      throws IOException, InterruptedException {
    assertThat(codeOf(client.callerRequest(0, "/v1/completions", "draft", "{not json")))
        .isEqualTo(1001);
    assertThat(codeOf(client.callerRequest(0, "/v1/completions", "nosuch", prompt("n", 1, false))))
        .isEqualTo(1002);
    assertThat(
            codeOf(
                client.callerRequest(
                    0, "/v1/completions", "draft", "{\"model\":\"x\",\"prompt\":\"y\"}")))
        .isEqualTo(1003);
    assertThat(codeOf(client.callerRequest(0, "/v1/completions", "draft", "\u0000\u0001binary")))
        .isEqualTo(1001);
    assertThat(
            codeOf(
                client.callerRequest(
                    0,
                    "/v1/completions",
                    "draft",
                    "{\"model\":\"story\",\"prompt\":\"x\",\"max_tokens\":-4}")))
        .isEqualTo(1006);
    assertThat(codeOf(client.callerRequest(0, "/v1/completions", "draft", "x".repeat(1_100_000))))
        .isEqualTo(1005);
    assertThat(codeOf(client.callerRequest(0, "/services/nosuch/x", "hold", "{}"))).isEqualTo(1007);
    assertThat(codeOf(client.callerRequest(0, "/nowhere", "hold", "{}"))).isEqualTo(1012);
  }

  private int codeOf(HttpRequest.Builder request) throws IOException, InterruptedException {
    JsonNode response = Json.LENIENT.readTree(client.send(request).body());
    assertThat(response.path("ran").asText()).isEqualTo("no");
    assertThat(response.at("/error/message").asText()).isNotBlank();
    return response.path("code").asInt();
  }

  @Test
  void a_change_sent_again_gets_its_first_result_and_a_concurrent_one_a_conflict()
      throws IOException, InterruptedException {
    HttpResponse<String> repeated = client.change(1, "setup", 0, Workloads.configurationEdits());
    HttpResponse<String> concurrent = client.change(1, "other", 0, Workloads.configurationEdits());

    assertThat(repeated.statusCode()).isEqualTo(200);
    assertThat(Json.LENIENT.readTree(concurrent.body()).path("code").asInt()).isEqualTo(4003);
    assertThat(concurrent.body()).contains("setup");
  }
}
