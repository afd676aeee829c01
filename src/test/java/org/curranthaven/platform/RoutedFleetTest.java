package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The whole path on loopback: one control host, one gateway, and backend servers under script. */
@Timeout(120)
class RoutedFleetTest extends RoutedFleetFixture {
  @Test
  void a_call_gets_exactly_its_own_answer() throws Exception {
    try (FakeBackend backend =
        new FakeBackend(
            (request, connection) ->
                FakeBackend.write(
                    connection, FakeBackend.response(request, 200, "to " + request.body())))) {
      register("i-1", backend, "ready", 1);

      String answer = sendRawRequest("/pages/1?x=2", "Tenant: forged\r\n");

      assertThat(status(answer)).isEqualTo(200);
      assertThat(answer).endsWith("to question").contains("Response-Seal: s");
      assertThat(backend.received()).hasSize(1);
      assertThat(backend.received().getFirst().line()).isEqualTo("POST /pages/1?x=2 HTTP/1.1");
      assertThat(backend.received().getFirst().header("Tenant")).isEqualTo("t1");
      assertThat(backend.received().getFirst().header("Expect-Instance")).isEqualTo("i-1");
    }
  }

  @Test
  void what_may_not_repeat_is_sent_once_when_its_answer_is_lost() throws Exception {
    try (FakeBackend backend = new FakeBackend((request, connection) -> connection.close())) {
      register("i-1", backend, "ready", 1);

      assertThat(status(sendRawRequest("/holds/1", ""))).isEqualTo(502);
      assertThat(backend.received()).hasSize(1);
    }
  }

  @Test
  void an_answer_that_belongs_to_another_request_is_never_passed_on() throws Exception {
    try (FakeBackend backend =
        new FakeBackend(
            (request, connection) -> {
              String other = "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Seal: s\r\n";
              FakeBackend.write(connection, other + "Content-Length: 5\r\n\r\nwrong");
              FakeBackend.write(connection, FakeBackend.response(request, 200, "right"));
            })) {
      register("i-1", backend, "ready", 1);

      assertThat(sendRawRequest("/holds/1", "")).endsWith("right");
      assertThat(sendRawRequest("/holds/2", "")).endsWith("right");
    }
  }

  @Test
  void an_answer_that_is_cut_short_is_never_passed_on_as_whole() throws Exception {
    try (FakeBackend backend =
        new FakeBackend(
            (request, connection) -> {
              String whole = FakeBackend.response(request, 200, "a longer answer");
              FakeBackend.write(connection, whole.substring(0, whole.length() - 4));
              connection.close();
            })) {
      register("i-1", backend, "ready", 1);

      assertThat(status(sendRawRequest("/holds/1", ""))).isEqualTo(502);
    }
  }

  @Test
  void a_success_without_the_seal_is_not_passed_on() throws Exception {
    try (FakeBackend backend =
        new FakeBackend(
            (request, connection) ->
                FakeBackend.write(
                    connection,
                    FakeBackend.response(request, 200, "x").replace("Response-Seal: s\r\n", "")))) {
      register("i-1", backend, "ready", 1);

      assertThat(status(sendRawRequest("/holds/1", ""))).isEqualTo(502);
    }
  }

  @Test
  void a_stream_goes_on_elsewhere_after_its_last_whole_event() throws Exception {
    AtomicInteger runs = new AtomicInteger();
    FakeBackend.ResponseScript script =
        (request, connection) -> {
          int first = runs.getAndIncrement() == 0 ? 1 : 3;
          FakeBackend.write(connection, FakeBackend.streamResponseHead(request));
          FakeBackend.write(connection, FakeBackend.event(first) + FakeBackend.event(first + 1));
          if (first == 1) {
            FakeBackend.write(connection, FakeBackend.chunk("id: 3\ndata: tok"));
            connection.close();
          } else {
            FakeBackend.write(connection, FakeBackend.chunk(""));
          }
        };
    try (FakeBackend one = new FakeBackend(script);
        FakeBackend two = new FakeBackend(script)) {
      register("i-1", one, "ready", 1);
      register("i-2", two, "ready", 1);

      String answer = sendRawRequest("/tags/1", "");

      assertThat(answer.split("data: token ", -1)).hasSize(5);
      assertThat(answer).endsWith("0\r\n\r\n");
      assertThat(runs).hasValue(2);
      List<FakeBackend.ReceivedRequest> requests = new ArrayList<>(one.received());
      requests.addAll(two.received());
      assertThat(requests)
          .extracting(request -> request.header("Last-Event-Id"))
          .containsExactlyInAnyOrder("", "2");
    }
  }

  @Test
  void a_stream_that_may_not_resume_is_seen_to_be_cut() throws Exception {
    try (FakeBackend backend =
        new FakeBackend(
            (request, connection) -> {
              FakeBackend.write(
                  connection, FakeBackend.streamResponseHead(request) + FakeBackend.event(1));
              connection.close();
            })) {
      register("i-1", backend, "ready", 1);

      String answer = sendRawRequest("/drafts/1", "");

      assertThat(answer).contains("token 1").doesNotEndWith("0\r\n\r\n");
      assertThat(backend.received()).hasSize(1);
    }
  }

  private static final String MODEL_HEADERS = "Model: m\r\nToken-Count: 1000,4000\r\n";

  @Test
  void a_stream_goes_on_from_its_copy_when_its_engine_is_lost() throws Exception {
    AtomicReference<FakeBackend> runsAt = new AtomicReference<>();
    List<FakeBackend> engines = new ArrayList<>();
    FakeBackend.ResponseScript script =
        (request, connection) -> {
          FakeBackend.write(connection, FakeBackend.streamResponseHead(request));
          if (request.header("Kv-From").isEmpty()) {
            FakeBackend.write(connection, FakeBackend.event(1) + FakeBackend.event(2));
            FakeBackend first =
                engines.stream()
                    .filter(e -> e.received().contains(request))
                    .findFirst()
                    .orElseThrow();
            runsAt.set(first);
            first.close();
          } else {
            FakeBackend.write(connection, FakeBackend.event(3) + FakeBackend.chunk(""));
          }
        };
    try (FakeBackend one = new FakeBackend(script);
        FakeBackend two = new FakeBackend(script)) {
      engines.addAll(List.of(one, two));
      register("i-1", one, "ready", 1, "engines");
      register("i-2", two, "ready", 1, "engines");

      String answer = sendRawRequest("/stories/1", MODEL_HEADERS);

      FakeBackend keeper = runsAt.get() == one ? two : one;
      assertThat(answer.split("data: token ", -1)).hasSize(4);
      assertThat(answer).endsWith("0\r\n\r\n");
      FakeBackend.ReceivedRequest run = Objects.requireNonNull(runsAt.get()).received().getFirst();
      FakeBackend.ReceivedRequest next = keeper.received().getFirst();
      assertThat(run.header("Kv-Backup")).isEqualTo(keeper.address());
      assertThat(next.header("Kv-From"))
          .isEqualTo(keeper.address() + "/" + run.header("Attempt-Id"));
      assertThat(next.header("Last-Event-Id")).isEqualTo("2");
    }
  }

  @Test
  void a_stream_is_moved_off_a_leaving_engine_without_losing_an_event() throws Exception {
    CountDownLatch started = new CountDownLatch(1);
    AtomicReference<Socket> stream = new AtomicReference<>();
    FakeBackend.ResponseScript leaving =
        (request, connection) -> {
          if (request.line().contains("kv-move")) {
            boolean last = request.body().contains("\"last\":true");
            if (last) {
              Socket running = Objects.requireNonNull(stream.get());
              FakeBackend.write(running, FakeBackend.event(3));
              running.close();
            }
            String body = "{\"handle\":\"h7\",\"made\":3}";
            FakeBackend.write(
                connection,
                "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
          } else {
            stream.set(connection);
            FakeBackend.write(connection, FakeBackend.streamResponseHead(request));
            FakeBackend.write(connection, FakeBackend.event(1) + FakeBackend.event(2));
            started.countDown();
          }
        };
    FakeBackend.ResponseScript target =
        (request, connection) ->
            FakeBackend.write(
                connection,
                FakeBackend.streamResponseHead(request)
                    + FakeBackend.event(4)
                    + FakeBackend.chunk(""));
    try (FakeBackend one = new FakeBackend(leaving);
        FakeBackend two = new FakeBackend(target)) {
      register("i-1", one, "ready", 1, "engines");
      try (Socket caller = openRawRequest("/stories/1", MODEL_HEADERS)) {
        assertThat(started.await(20, TimeUnit.SECONDS)).isTrue();
        register("i-2", two, "ready", 1, "engines");

        register("i-1", one, "draining", 2, "engines");

        String answer = new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(answer.split("data: token ", -1)).hasSize(5);
        assertThat(answer).endsWith("0\r\n\r\n");
        FakeBackend.ReceivedRequest next = two.received().getFirst();
        assertThat(next.header("Kv-From")).isEqualTo(one.address() + "/h7");
        assertThat(next.header("Last-Event-Id")).isEqualTo("3");
      }
    }
  }

  @Test
  void the_backend_server_is_told_at_once_that_the_caller_has_gone() throws Exception {
    CountDownLatch started = new CountDownLatch(1);
    CountDownLatch closed = new CountDownLatch(1);
    try (FakeBackend backend =
        new FakeBackend(
            (request, connection) -> {
              FakeBackend.write(
                  connection, FakeBackend.streamResponseHead(request) + FakeBackend.event(1));
              started.countDown();
              InputStream in = connection.getInputStream();
              if (in.read() < 0) {
                closed.countDown();
              }
            })) {
      register("i-1", backend, "ready", 1);
      Socket caller = openRawRequest("/drafts/1", "");
      assertThat(started.await(20, TimeUnit.SECONDS)).isTrue();

      caller.close();

      assertThat(closed.await(20, TimeUnit.SECONDS)).isTrue();
    }
  }

  @Test
  void a_backend_server_whose_leave_was_acknowledged_gets_no_new_call() throws Exception {
    FakeBackend.ResponseScript script =
        (request, connection) ->
            FakeBackend.write(connection, FakeBackend.response(request, 200, "ok"));
    try (FakeBackend one = new FakeBackend(script);
        FakeBackend two = new FakeBackend(script)) {
      register("i-1", one, "ready", 1);
      register("i-2", two, "ready", 1);
      register("i-1", one, "draining", 2);
      register("i-1", one, "ready", 1);
      int before = one.received().size();

      for (int i = 0; i < 20; i++) {
        assertThat(status(sendRawRequest("/pages/" + i, ""))).isEqualTo(200);
      }

      assertThat(one.received()).hasSize(before);
      assertThat(two.received()).hasSize(20);
    }
  }

  @Test
  void a_request_whose_length_can_be_read_in_two_ways_reaches_no_backend_server() throws Exception {
    try (FakeBackend backend =
        new FakeBackend(
            (request, connection) ->
                FakeBackend.write(connection, FakeBackend.response(request, 200, "ok")))) {
      register("i-1", backend, "ready", 1);

      String answer = sendRawRequest("/pages/1", "Transfer-Encoding: chunked\r\n");

      assertThat(status(answer)).isEqualTo(400);
      assertThat(backend.received()).isEmpty();
    }
  }

  @Test
  void an_accepted_catalog_is_in_force_and_an_older_one_never_again() throws Exception {
    putCatalog(CATALOG.formatted(9).replace("/pages/", "/leaves/"));
    putCatalog(CATALOG.formatted(3));

    assertThat(sendControlRequest("GET", "/api/config", "").body()).contains("\"version\":9");
    assertThat(status(sendRawRequest("/pages/1", ""))).isEqualTo(404);
  }

  @Test
  void an_invalid_catalog_is_refused_and_changes_nothing() throws Exception {
    String cutShort = CATALOG.formatted(10).substring(0, 300);

    assertThat(sendControlRequest("PUT", "/api/config", cutShort).statusCode()).isEqualTo(400);
    assertThat(sendControlRequest("GET", "/api/config", "").body()).contains("\"version\":1");
  }

  @Test
  void an_unknown_key_or_route_is_refused_and_a_missing_backend_says_when_to_come_back()
      throws Exception {
    assertThat(status(sendRawRequest("/nowhere/", ""))).isEqualTo(404);
    assertThat(sendRequest("/pages/1").statusCode()).isEqualTo(404);
    String answer = sendRawRequest("/pages/1", "");
    assertThat(status(answer)).isEqualTo(503);
    assertThat(answer.toLowerCase(java.util.Locale.ROOT)).contains("retry-after:");
  }
}
