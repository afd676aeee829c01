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

/**
 * End-to-end tests on loopback addresses with one control host, one gateway and scripted backend
 * servers.
 */
@Timeout(120)
class RoutedFleetTest extends RoutedFleetFixture {
  @Test
  void a_request_gets_its_own_response() throws Exception {
    try (FakeBackend backend =
        new FakeBackend(
            (request, connection) ->
                FakeBackend.write(
                    connection, FakeBackend.response(request, 200, "to " + request.body())))) {
      register("i-1", backend, "ready", 1);

      String response = sendRawRequest("/pages/1?x=2", "Tenant: forged\r\n");

      assertThat(status(response)).isEqualTo(200);
      assertThat(response).endsWith("to question").contains("Response-Seal: s");
      assertThat(backend.received()).hasSize(1);
      assertThat(backend.received().getFirst().line()).isEqualTo("POST /pages/1?x=2 HTTP/1.1");
      assertThat(backend.received().getFirst().header("Tenant")).isEqualTo("t1");
      assertThat(backend.received().getFirst().header("Expect-Instance")).isEqualTo("i-1");
    }
  }

  @Test
  void a_non_idempotent_request_is_sent_once_when_its_response_is_lost() throws Exception {
    try (FakeBackend backend = new FakeBackend((request, connection) -> connection.close())) {
      register("i-1", backend, "ready", 1);

      assertThat(status(sendRawRequest("/holds/1", ""))).isEqualTo(502);
      assertThat(backend.received()).hasSize(1);
    }
  }

  @Test
  void a_response_to_another_request_is_never_forwarded() throws Exception {
    try (FakeBackend backend =
        new FakeBackend(
            (request, connection) -> {
              String otherHead = "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Seal: s\r\n";
              FakeBackend.write(connection, otherHead + "Content-Length: 5\r\n\r\nwrong");
              FakeBackend.write(connection, FakeBackend.response(request, 200, "right"));
            })) {
      register("i-1", backend, "ready", 1);

      assertThat(sendRawRequest("/holds/1", "")).endsWith("right");
      assertThat(sendRawRequest("/holds/2", "")).endsWith("right");
    }
  }

  @Test
  void a_truncated_response_is_never_forwarded_as_complete() throws Exception {
    try (FakeBackend backend =
        new FakeBackend(
            (request, connection) -> {
              String complete = FakeBackend.response(request, 200, "a longer response");
              FakeBackend.write(connection, complete.substring(0, complete.length() - 4));
              connection.close();
            })) {
      register("i-1", backend, "ready", 1);

      assertThat(status(sendRawRequest("/holds/1", ""))).isEqualTo(502);
    }
  }

  @Test
  void a_success_response_without_the_seal_is_not_forwarded() throws Exception {
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
  void a_stream_resumes_on_another_backend_server_after_its_last_complete_event() throws Exception {
    AtomicInteger attempts = new AtomicInteger();
    FakeBackend.ResponseScript script =
        (request, connection) -> {
          int firstEventId = attempts.getAndIncrement() == 0 ? 1 : 3;
          FakeBackend.write(connection, FakeBackend.streamResponseHead(request));
          FakeBackend.write(
              connection, FakeBackend.event(firstEventId) + FakeBackend.event(firstEventId + 1));
          if (firstEventId == 1) {
            // The connection ends within the third event.
            FakeBackend.write(connection, FakeBackend.chunk("id: 3\ndata: tok"));
            connection.close();
          } else {
            FakeBackend.write(connection, FakeBackend.chunk(""));
          }
        };
    try (FakeBackend first = new FakeBackend(script);
        FakeBackend second = new FakeBackend(script)) {
      register("i-1", first, "ready", 1);
      register("i-2", second, "ready", 1);

      String response = sendRawRequest("/tags/1", "");

      assertThat(response.split("data: token ", -1)).hasSize(5);
      assertThat(response).endsWith("0\r\n\r\n");
      assertThat(attempts).hasValue(2);
      List<FakeBackend.ReceivedRequest> requests = new ArrayList<>(first.received());
      requests.addAll(second.received());
      assertThat(requests)
          .extracting(request -> request.header("Last-Event-Id"))
          .containsExactlyInAnyOrder("", "2");
    }
  }

  @Test
  void a_truncated_stream_that_may_not_resume_is_visibly_incomplete_to_the_caller()
      throws Exception {
    try (FakeBackend backend =
        new FakeBackend(
            (request, connection) -> {
              FakeBackend.write(
                  connection, FakeBackend.streamResponseHead(request) + FakeBackend.event(1));
              connection.close();
            })) {
      register("i-1", backend, "ready", 1);

      String response = sendRawRequest("/drafts/1", "");

      assertThat(response).contains("token 1").doesNotEndWith("0\r\n\r\n");
      assertThat(backend.received()).hasSize(1);
    }
  }

  private static final String MODEL_HEADERS = "Model: m\r\nToken-Count: 1000,4000\r\n";

  @Test
  void a_stream_resumes_from_its_backup_copy_when_its_engine_is_lost() throws Exception {
    AtomicReference<FakeBackend> lostEngine = new AtomicReference<>();
    List<FakeBackend> engines = new ArrayList<>();
    FakeBackend.ResponseScript script =
        (request, connection) -> {
          FakeBackend.write(connection, FakeBackend.streamResponseHead(request));
          if (request.header("Kv-From").isEmpty()) {
            FakeBackend.write(connection, FakeBackend.event(1) + FakeBackend.event(2));
            FakeBackend running =
                engines.stream()
                    .filter(engine -> engine.received().contains(request))
                    .findFirst()
                    .orElseThrow();
            lostEngine.set(running);
            running.close();
          } else {
            FakeBackend.write(connection, FakeBackend.event(3) + FakeBackend.chunk(""));
          }
        };
    try (FakeBackend first = new FakeBackend(script);
        FakeBackend second = new FakeBackend(script)) {
      engines.addAll(List.of(first, second));
      register("i-1", first, "ready", 1, "engines");
      register("i-2", second, "ready", 1, "engines");

      String response = sendRawRequest("/stories/1", MODEL_HEADERS);

      FakeBackend backupEngine = lostEngine.get() == first ? second : first;
      assertThat(response.split("data: token ", -1)).hasSize(4);
      assertThat(response).endsWith("0\r\n\r\n");
      FakeBackend.ReceivedRequest original =
          Objects.requireNonNull(lostEngine.get()).received().getFirst();
      FakeBackend.ReceivedRequest resumed = backupEngine.received().getFirst();
      assertThat(original.header("Kv-Backup")).isEqualTo(backupEngine.address());
      assertThat(resumed.header("Kv-From"))
          .isEqualTo(backupEngine.address() + "/" + original.header("Attempt-Id"));
      assertThat(resumed.header("Last-Event-Id")).isEqualTo("2");
    }
  }

  @Test
  void a_stream_does_not_resume_while_its_engine_may_still_run_it() throws Exception {
    FakeBackend.ResponseScript script =
        (request, connection) -> {
          if (request.line().contains("kv-move")) {
            // Reached, but the stop is not confirmed.
            return;
          }
          FakeBackend.write(
              connection, FakeBackend.streamResponseHead(request) + FakeBackend.event(1));
          connection.close();
        };
    try (FakeBackend first = new FakeBackend(script);
        FakeBackend second = new FakeBackend(script)) {
      register("i-1", first, "ready", 1, "engines");
      register("i-2", second, "ready", 1, "engines");

      String response = sendRawRequest("/stories/1", MODEL_HEADERS);

      assertThat(response).contains("token 1").doesNotEndWith("0\r\n\r\n");
      List<FakeBackend.ReceivedRequest> received = new ArrayList<>(first.received());
      received.addAll(second.received());
      assertThat(received).noneMatch(request -> !request.header("Kv-From").isEmpty());
      assertThat(received).anyMatch(request -> request.line().contains("kv-move"));
    }
  }

  @Test
  void headers_above_the_limit_of_the_catalog_are_rejected() throws Exception {
    String longHeader = "Padding: " + "x".repeat(20_000) + "\r\n";

    assertThat(status(sendRawRequest("/pages/1", longHeader))).isEqualTo(431);
  }

  @Test
  void a_stream_migrates_from_a_leaving_engine_without_losing_an_event() throws Exception {
    CountDownLatch started = new CountDownLatch(1);
    AtomicReference<Socket> streamConnection = new AtomicReference<>();
    FakeBackend.ResponseScript leavingScript =
        (request, connection) -> {
          if (request.line().contains("kv-move")) {
            boolean finalCopy = request.body().contains("\"last\":true");
            if (finalCopy) {
              Socket runningStream = Objects.requireNonNull(streamConnection.get());
              FakeBackend.write(runningStream, FakeBackend.event(3));
              runningStream.close();
            }
            String body = "{\"handle\":\"h7\",\"made\":3}";
            FakeBackend.write(
                connection,
                "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
          } else {
            streamConnection.set(connection);
            FakeBackend.write(connection, FakeBackend.streamResponseHead(request));
            FakeBackend.write(connection, FakeBackend.event(1) + FakeBackend.event(2));
            started.countDown();
          }
        };
    FakeBackend.ResponseScript targetScript =
        (request, connection) ->
            FakeBackend.write(
                connection,
                FakeBackend.streamResponseHead(request)
                    + FakeBackend.event(4)
                    + FakeBackend.chunk(""));
    try (FakeBackend source = new FakeBackend(leavingScript);
        FakeBackend target = new FakeBackend(targetScript)) {
      register("i-1", source, "ready", 1, "engines");
      try (Socket caller = openRawRequest("/stories/1", MODEL_HEADERS)) {
        assertThat(started.await(20, TimeUnit.SECONDS)).isTrue();
        register("i-2", target, "ready", 1, "engines");

        register("i-1", source, "draining", 2, "engines");

        String response =
            new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(response.split("data: token ", -1)).hasSize(5);
        assertThat(response).endsWith("0\r\n\r\n");
        FakeBackend.ReceivedRequest resumed = target.received().getFirst();
        assertThat(resumed.header("Kv-From")).isEqualTo(source.address() + "/h7");
        assertThat(resumed.header("Last-Event-Id")).isEqualTo("3");
      }
    }
  }

  @Test
  void the_connection_to_the_backend_server_is_closed_when_the_caller_disconnects()
      throws Exception {
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
  void a_backend_server_gets_no_new_requests_once_its_departure_is_acknowledged() throws Exception {
    FakeBackend.ResponseScript script =
        (request, connection) ->
            FakeBackend.write(connection, FakeBackend.response(request, 200, "ok"));
    try (FakeBackend first = new FakeBackend(script);
        FakeBackend second = new FakeBackend(script)) {
      register("i-1", first, "ready", 1);
      register("i-2", second, "ready", 1);
      register("i-1", first, "draining", 2);
      // A registration with an older sequence number must not undo the departure.
      register("i-1", first, "ready", 1);
      int requestsBefore = first.received().size();

      for (int i = 0; i < 20; i++) {
        assertThat(status(sendRawRequest("/pages/" + i, ""))).isEqualTo(200);
      }

      assertThat(first.received()).hasSize(requestsBefore);
      assertThat(second.received()).hasSize(20);
    }
  }

  @Test
  void a_request_with_an_ambiguous_length_reaches_no_backend_server() throws Exception {
    try (FakeBackend backend =
        new FakeBackend(
            (request, connection) ->
                FakeBackend.write(connection, FakeBackend.response(request, 200, "ok")))) {
      register("i-1", backend, "ready", 1);

      String response = sendRawRequest("/pages/1", "Transfer-Encoding: chunked\r\n");

      assertThat(status(response)).isEqualTo(400);
      assertThat(backend.received()).isEmpty();
    }
  }

  @Test
  void an_accepted_catalog_is_active_and_is_never_replaced_by_an_older_one() throws Exception {
    putCatalog(CATALOG.formatted(9).replace("/pages/", "/leaves/"));
    putCatalog(CATALOG.formatted(3));

    assertThat(sendControlRequest("GET", "/api/config", "").body()).contains("\"version\":9");
    assertThat(status(sendRawRequest("/pages/1", ""))).isEqualTo(404);
  }

  @Test
  void an_invalid_catalog_is_rejected_and_changes_nothing() throws Exception {
    String truncated = CATALOG.formatted(10).substring(0, 300);

    assertThat(sendControlRequest("PUT", "/api/config", truncated).statusCode()).isEqualTo(400);
    assertThat(sendControlRequest("GET", "/api/config", "").body()).contains("\"version\":1");
  }

  @Test
  void an_unknown_host_or_route_is_rejected_and_a_missing_backend_server_gives_a_retry_delay()
      throws Exception {
    assertThat(status(sendRawRequest("/nowhere/", ""))).isEqualTo(404);
    assertThat(sendRequest("/pages/1").statusCode()).isEqualTo(404);
    String response = sendRawRequest("/pages/1", "");
    assertThat(status(response)).isEqualTo(503);
    assertThat(response.toLowerCase(java.util.Locale.ROOT)).contains("retry-after:");
  }
}
