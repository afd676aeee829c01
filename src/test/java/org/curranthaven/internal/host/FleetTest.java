package org.curranthaven.internal.host;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.SplittableRandom;
import java.util.UUID;
import org.curranthaven.internal.configuration.ConfigurationChange;
import org.curranthaven.internal.membership.BackendAnnouncement;
import org.curranthaven.internal.settings.Json;
import org.curranthaven.internal.standin.AnswerCheck;
import org.curranthaven.internal.standin.EngineOptions;
import org.curranthaven.internal.standin.LocalFleet;
import org.curranthaven.internal.standin.PromiseTally;
import org.curranthaven.internal.standin.RunLog;
import org.curranthaven.internal.standin.StandinEngine;
import org.curranthaven.internal.standin.StandinOptions;
import org.curranthaven.internal.standin.StandinService;
import org.curranthaven.internal.standin.Workloads;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;

/** A fleet of three hosts on loopback; conditions are awaited, and no verdict rests on time. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class FleetTest {
  private static final long PATIENCE_MILLIS = 120_000;

  private final RunLog runLog = new RunLog();
  private final HttpClient client = HttpClient.newHttpClient();
  private final SplittableRandom random = new SplittableRandom(5);
  private LocalFleet fleet;
  private StandinEngine story;
  private StandinEngine secondStory;
  private StandinService desk;

  @BeforeAll
  void startFleet() throws IOException, InterruptedException {
    fleet = LocalFleet.start(3, 3);
    List<String> hosts = fleet.httpAddresses();
    story = StandinEngine.start(options("story-1", Workloads.STORY, hosts), runLog);
    secondStory = StandinEngine.start(options("story-2", Workloads.STORY, hosts), runLog);
    desk = StandinService.start(options("desk-1", Workloads.DESK, hosts), runLog);
    await(() -> change("setup", 0).statusCode() == 200);
    assertThat(fleet.awaitReady(PATIENCE_MILLIS)).isTrue();
    await(() -> get(0, "/admin/v1/backends").size() == 3);
    await(() -> get(1, "/admin/v1/backends").size() == 3);
  }

  @AfterAll
  void stopFleet() {
    story.close();
    secondStory.close();
    desk.close();
    fleet.close();
  }

  private interface Condition {
    boolean holds() throws IOException, InterruptedException;
  }

  private static void await(Condition condition) throws InterruptedException {
    boolean held =
        LocalFleet.await(
            PATIENCE_MILLIS,
            () -> {
              try {
                return condition.holds();
              } catch (IOException e) {
                return false;
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
              }
            });
    assertThat(held).isTrue();
  }

  private static StandinOptions options(String name, String model, List<String> hosts) {
    return new StandinOptions(
        name,
        "a",
        0,
        hosts,
        model,
        EngineOptions.standard(),
        BackendAnnouncement.Resume.TAKEOVER,
        true);
  }

  private HttpResponse<String> change(String id, long base)
      throws IOException, InterruptedException {
    String body = Json.text(new ConfigurationChange(id, base, "test", Workloads.configuration()));
    return client.send(
        HttpRequest.newBuilder(URI.create(url(1, "/admin/v1/changes")))
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build(),
        HttpResponse.BodyHandlers.ofString());
  }

  private String url(int host, String path) {
    return "http://" + fleet.httpAddresses().get(host) + path;
  }

  private JsonNode get(int host, String path) throws IOException, InterruptedException {
    HttpRequest request = HttpRequest.newBuilder(URI.create(url(host, path))).build();
    return Json.LENIENT.readTree(client.send(request, HttpResponse.BodyHandlers.ofString()).body());
  }

  private HttpRequest.Builder call(int host, String path, String className, String body) {
    return HttpRequest.newBuilder(URI.create(url(host, path)))
        .header("Authorization", "Bearer " + Workloads.KEY)
        .header("Curranthaven-Class", className)
        .POST(HttpRequest.BodyPublishers.ofString(body));
  }

  private HttpResponse<String> send(HttpRequest.Builder request)
      throws IOException, InterruptedException {
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  private String nonce() {
    return new UUID(random.nextLong(), random.nextLong()).toString();
  }

  private static String key() {
    long high = (System.currentTimeMillis() << 16) | 0x7001L;
    return new UUID(high, UUID.randomUUID().getLeastSignificantBits()).toString();
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
        send(call(0, "/v1/completions", "draft", prompt(nonce, 50, true)));

    PromiseTally tally = new PromiseTally();
    AnswerCheck check = new AnswerCheck(tally, nonce);
    for (String line : response.body().lines().toList()) {
      if (line.startsWith("data: {")) {
        check.text(Json.LENIENT.readTree(line.substring(6)).at("/choices/0/text").asText());
      }
    }
    check.complete(50);
    assertThat(response.body()).endsWith("data: [DONE]\n\n");
    assertThat(check.tokens()).isEqualTo(50);
    assertThat(tally.counts().allKept()).isTrue();
  }

  @Test
  void a_whole_answer_has_usage_figures_and_a_finish_reason()
      throws IOException, InterruptedException {
    HttpResponse<String> response =
        send(call(1, "/v1/completions", "draft", prompt(nonce(), 12, false)));

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
                      && !story.silenceOneConnection()
                      && !secondStory.silenceOneConnection()) {
                    Thread.onSpinWait();
                  }
                });

    HttpResponse<String> response =
        send(call(0, "/v1/completions", "draft", prompt(nonce, 200, false)));
    silencer.interrupt();

    JsonNode answer = Json.LENIENT.readTree(response.body());
    PromiseTally tally = new PromiseTally();
    AnswerCheck check = new AnswerCheck(tally, nonce);
    check.text(answer.at("/choices/0/text").asText());
    check.complete(200);
    assertThat(tally.counts().allKept()).isTrue();
    assertThat(runLog.runs(nonce)).isEqualTo(1);
  }

  @Test
  void a_call_that_may_not_repeat_runs_once_whatever_host_it_is_sent_through()
      throws IOException, InterruptedException {
    String nonce = nonce();
    String key = key();
    String body = "{\"nonce\":\"" + nonce + "\"}";

    for (int i = 0; i < 6; i++) {
      HttpResponse<String> response =
          send(call(i % 3, "/services/desk/hold", "hold", body).header("Idempotency-Key", key));
      assertThat(response.statusCode()).isEqualTo(200);
      assertThat(response.body()).contains(nonce);
    }

    assertThat(runLog.runs(nonce)).isEqualTo(1);
  }

  @Test
  void a_call_whose_answer_was_lost_is_not_run_again() throws IOException, InterruptedException {
    String nonce = nonce();
    String key = key();
    String body = "{\"nonce\":\"" + nonce + "\"}";
    desk.silenceNextCalls(1);

    HttpResponse<String> first =
        send(call(0, "/services/desk/hold", "hold", body).header("Idempotency-Key", key));
    HttpResponse<String> second =
        send(call(1, "/services/desk/hold", "hold", body).header("Idempotency-Key", key));

    assertThat(Json.LENIENT.readTree(first.body()).path("ran").asText()).isEqualTo("unknown");
    assertThat(Json.LENIENT.readTree(second.body()).path("ran").asText()).isEqualTo("unknown");
    assertThat(runLog.runs(nonce)).isEqualTo(1);
  }

  @Test
  void a_key_used_with_another_body_is_refused() throws IOException, InterruptedException {
    String key = key();
    send(
        call(0, "/services/desk/hold", "hold", "{\"nonce\":\"a1\"}")
            .header("Idempotency-Key", key));

    HttpResponse<String> other =
        send(
            call(1, "/services/desk/hold", "hold", "{\"nonce\":\"a2\"}")
                .header("Idempotency-Key", key));

    assertThat(Json.LENIENT.readTree(other.body()).path("code").asInt()).isEqualTo(1008);
    assertThat(runLog.runs("a2")).isZero();
  }

  @Test
  void bad_input_gets_a_numbered_code_and_did_not_run() throws IOException, InterruptedException {
    assertThat(codeOf(call(0, "/v1/completions", "draft", "{not json"))).isEqualTo(1001);
    assertThat(codeOf(call(0, "/v1/completions", "nosuch", prompt("n", 1, false)))).isEqualTo(1002);
    assertThat(codeOf(call(0, "/v1/completions", "draft", "{\"model\":\"x\",\"prompt\":\"y\"}")))
        .isEqualTo(1003);
    assertThat(codeOf(call(0, "/v1/completions", "draft", "\u0000\u0001binary"))).isEqualTo(1001);
    assertThat(
            codeOf(
                call(
                    0,
                    "/v1/completions",
                    "draft",
                    "{\"model\":\"story\",\"prompt\":\"x\",\"max_tokens\":-4}")))
        .isEqualTo(1006);
    assertThat(codeOf(call(0, "/v1/completions", "draft", "x".repeat(1_100_000)))).isEqualTo(1005);
    assertThat(codeOf(call(0, "/services/nosuch/x", "hold", "{}"))).isEqualTo(1007);
    assertThat(codeOf(call(0, "/nowhere", "hold", "{}"))).isEqualTo(1012);
  }

  private int codeOf(HttpRequest.Builder request) throws IOException, InterruptedException {
    JsonNode answer = Json.LENIENT.readTree(send(request).body());
    assertThat(answer.path("ran").asText()).isEqualTo("no");
    assertThat(answer.at("/error/message").asText()).isNotBlank();
    return answer.path("code").asInt();
  }

  @Test
  void a_change_sent_again_gets_its_first_answer_and_a_racing_one_a_conflict()
      throws IOException, InterruptedException {
    HttpResponse<String> again = change("setup", 0);
    HttpResponse<String> racing = change("other", 0);

    assertThat(again.statusCode()).isEqualTo(200);
    assertThat(Json.LENIENT.readTree(racing.body()).path("code").asInt()).isEqualTo(4003);
    assertThat(racing.body()).contains("setup");
  }
}
