package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a broken-off stream that reaches its caller as complete: engines may send streams
 * without length or chunks, which end with their connection.
 */
@Timeout(120)
class StreamEndingTest extends RoutedFleetFixture {
  private static final String MODEL_HEADERS = "Model: m\r\nToken-Count: 1000,4000\r\n";
  private static final String LAST_CHUNK = "0\r\n\r\n";
  private static final String UNFINISHED_EVENT = "id: 3\ndata: tok";

  private static FakeBackend.ResponseScript unframedStream(String body) {
    return (request, connection) -> {
      FakeBackend.write(connection, FakeBackend.unframedStreamResponseHead(request) + body);
      connection.close();
    };
  }

  @Test
  void a_stream_that_ends_with_its_connection_after_an_event_is_complete() throws Exception {
    String events = FakeBackend.plainEvent(1) + FakeBackend.plainEvent(2);
    try (FakeBackend backend = new FakeBackend(unframedStream(events))) {
      register("i-1", backend, "ready", 1);

      String response = sendRawRequest("/drafts/1", "");

      assertThat(response).contains("token 1", "token 2").endsWith(LAST_CHUNK);
      assertThat(backend.received()).hasSize(1);
    }
  }

  @Test
  void a_stream_that_ends_with_its_connection_because_its_server_crashed_is_incomplete()
      throws Exception {
    AtomicReference<FakeBackend> crashing = new AtomicReference<>();
    try (FakeBackend backend =
        new FakeBackend(
            (request, connection) -> {
              FakeBackend.write(
                  connection,
                  FakeBackend.unframedStreamResponseHead(request)
                      + FakeBackend.plainEvent(1)
                      + FakeBackend.plainEvent(2));
              Objects.requireNonNull(crashing.get()).close();
            })) {
      crashing.set(backend);
      register("i-1", backend, "ready", 1);

      String response = sendRawRequest("/drafts/1", "");

      assertThat(response).contains("token 1", "token 2").doesNotEndWith(LAST_CHUNK);
      assertThat(backend.received()).hasSize(1);
    }
  }

  @Test
  void a_stream_whose_connection_ends_inside_an_event_is_incomplete_to_the_caller()
      throws Exception {
    String events = FakeBackend.plainEvent(1) + FakeBackend.plainEvent(2);
    try (FakeBackend backend = new FakeBackend(unframedStream(events + UNFINISHED_EVENT))) {
      register("i-1", backend, "ready", 1);

      String response = sendRawRequest("/drafts/1", "");

      assertThat(response).contains("token 1", "token 2").doesNotContain("id: 3");
      assertThat(response).doesNotEndWith(LAST_CHUNK);
      assertThat(backend.received()).hasSize(1);
    }
  }

  @Test
  void a_stream_whose_connection_ends_inside_its_first_event_is_not_delivered() throws Exception {
    try (FakeBackend backend = new FakeBackend(unframedStream("id: 1\ndata: tok"))) {
      register("i-1", backend, "ready", 1);

      assertThat(status(sendRawRequest("/drafts/1", ""))).isEqualTo(502);
      assertThat(backend.received()).hasSize(1);
    }
  }

  @Test
  void a_chunked_stream_that_ends_inside_an_event_is_incomplete_to_the_caller() throws Exception {
    try (FakeBackend backend =
        new FakeBackend(
            (request, connection) ->
                FakeBackend.write(
                    connection,
                    FakeBackend.streamResponseHead(request)
                        + FakeBackend.event(1)
                        + FakeBackend.chunk(UNFINISHED_EVENT)
                        + FakeBackend.chunk("")))) {
      register("i-1", backend, "ready", 1);

      String response = sendRawRequest("/drafts/1", "");

      assertThat(response).contains("token 1").doesNotContain("id: 3").doesNotEndWith(LAST_CHUNK);
    }
  }

  @Test
  void a_resumable_stream_resumes_elsewhere_when_its_connection_ends_inside_an_event()
      throws Exception {
    AtomicInteger attempts = new AtomicInteger();
    FakeBackend.ResponseScript script =
        (request, connection) -> {
          boolean first = attempts.getAndIncrement() == 0;
          String events =
              first
                  ? FakeBackend.plainEvent(1) + FakeBackend.plainEvent(2) + UNFINISHED_EVENT
                  : FakeBackend.plainEvent(3) + FakeBackend.plainEvent(4);
          unframedStream(events).respond(request, connection);
        };
    try (FakeBackend first = new FakeBackend(script);
        FakeBackend second = new FakeBackend(script)) {
      register("i-1", first, "ready", 1);
      register("i-2", second, "ready", 1);

      String response = sendRawRequest("/tags/1", "");

      assertThat(response.split("data: token ", -1)).hasSize(5);
      assertThat(response).endsWith(LAST_CHUNK);
      assertThat(attempts).hasValue(2);
    }
  }

  /** An engine that runs one stream and responds to the request to stop it. */
  private static final class StoppedEngine implements FakeBackend.ResponseScript {
    private final CountDownLatch started = new CountDownLatch(1);
    private final AtomicReference<Socket> streamConnection = new AtomicReference<>();
    private final String stopResponse;

    /**
     * Creates an engine.
     *
     * @param stopResponse its response to the request to stop, after which it closes the stream;
     *     empty to close the connection without a response
     */
    StoppedEngine(String stopResponse) {
      this.stopResponse = stopResponse;
    }

    @Override
    public void respond(FakeBackend.ReceivedRequest request, Socket connection) throws Exception {
      if (request.body().contains("\"last\":true")) {
        Objects.requireNonNull(streamConnection.get()).close();
        FakeBackend.write(connection, stopResponse);
        if (stopResponse.isEmpty()) {
          connection.close();
        }
      } else if (request.line().contains("kv-move")) {
        FakeBackend.write(connection, COPIED);
      } else {
        streamConnection.set(connection);
        FakeBackend.write(
            connection,
            FakeBackend.unframedStreamResponseHead(request)
                + FakeBackend.plainEvent(1)
                + FakeBackend.plainEvent(2));
        started.countDown();
      }
    }
  }

  private static final String COPIED =
      "HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n{\"handle\":\"h7\",\"made\":2}";

  /** Returns the response to a stream whose engine leaves and is told to stop it. */
  private String responseWhileEngineLeaves(StoppedEngine engine, FakeBackend target)
      throws Exception {
    try (FakeBackend source = new FakeBackend(engine)) {
      register("i-1", source, "ready", 1, "engines");
      try (Socket caller = openRawRequest("/stories/1", MODEL_HEADERS)) {
        assertThat(engine.started.await(20, TimeUnit.SECONDS)).isTrue();
        register("i-2", target, "ready", 1, "engines");
        register("i-1", source, "draining", 2, "engines");
        return new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      }
    }
  }

  @Test
  void a_migrating_stream_that_is_stopped_between_events_continues_at_its_target()
      throws Exception {
    try (FakeBackend target = new FakeBackend(unframedStream(FakeBackend.plainEvent(3)))) {
      String response = responseWhileEngineLeaves(new StoppedEngine(COPIED), target);

      assertThat(response.split("data: token ", -1)).hasSize(4);
      assertThat(response).endsWith(LAST_CHUNK);
      assertThat(List.copyOf(target.received())).hasSize(1);
    }
  }

  @Test
  void a_stream_that_its_engine_had_finished_before_it_could_be_stopped_is_complete()
      throws Exception {
    String notRunning = "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}";
    try (FakeBackend target = new FakeBackend(unframedStream(FakeBackend.plainEvent(3)))) {
      String response = responseWhileEngineLeaves(new StoppedEngine(notRunning), target);

      assertThat(response.split("data: token ", -1)).hasSize(3);
      assertThat(response).endsWith(LAST_CHUNK);
      assertThat(List.copyOf(target.received())).isEmpty();
    }
  }

  @Test
  void a_stream_that_ends_after_an_unanswered_stop_is_incomplete_to_the_caller() throws Exception {
    try (FakeBackend target = new FakeBackend(unframedStream(FakeBackend.plainEvent(3)))) {
      String response = responseWhileEngineLeaves(new StoppedEngine(""), target);

      assertThat(response).contains("token 2").doesNotEndWith(LAST_CHUNK);
      assertThat(List.copyOf(target.received())).isEmpty();
    }
  }

  @Test
  void a_stream_that_ends_after_a_spoilt_response_to_its_stop_is_incomplete_to_the_caller()
      throws Exception {
    CountDownLatch started = new CountDownLatch(1);
    AtomicReference<Socket> streamConnection = new AtomicReference<>();
    FakeBackend.ResponseScript script =
        (request, connection) -> {
          if (request.body().contains("\"last\":true")) {
            FakeBackend.write(connection, "HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\n{\"ha");
            Thread.sleep(300);
            Objects.requireNonNull(streamConnection.get()).close();
          } else if (request.line().contains("kv-move")) {
            FakeBackend.write(connection, COPIED);
          } else {
            streamConnection.set(connection);
            String events = FakeBackend.plainEvent(1) + FakeBackend.plainEvent(2);
            FakeBackend.write(connection, FakeBackend.unframedStreamResponseHead(request) + events);
            started.countDown();
          }
        };
    try (FakeBackend leaving = new FakeBackend(script);
        FakeBackend target = new FakeBackend(unframedStream(FakeBackend.plainEvent(3)))) {
      register("i-1", leaving, "ready", 1, "engines");
      try (Socket caller = openRawRequest("/stories/1", MODEL_HEADERS)) {
        assertThat(started.await(20, TimeUnit.SECONDS)).isTrue();
        register("i-2", target, "ready", 1, "engines");
        register("i-1", leaving, "draining", 2, "engines");

        String response =
            new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(response).contains("token 2").doesNotEndWith(LAST_CHUNK);
        assertThat(List.copyOf(target.received())).isEmpty();
      }
    }
  }

  @Test
  void a_stream_that_ends_long_after_an_unanswered_stop_is_incomplete_to_the_caller()
      throws Exception {
    CountDownLatch started = new CountDownLatch(1);
    AtomicInteger stops = new AtomicInteger();
    AtomicReference<Socket> streamConnection = new AtomicReference<>();
    FakeBackend.ResponseScript script =
        (request, connection) -> {
          if (!request.line().contains("kv-move")) {
            streamConnection.set(connection);
            String events = FakeBackend.plainEvent(1) + FakeBackend.plainEvent(2);
            FakeBackend.write(connection, FakeBackend.unframedStreamResponseHead(request) + events);
            started.countDown();
          } else if (stops.get() > 0) {
            // The call before is still in progress.
            FakeBackend.write(connection, "HTTP/1.1 409 X\r\nContent-Length: 2\r\n\r\n{}");
            Thread.sleep(300);
            Objects.requireNonNull(streamConnection.get()).close();
          } else if (request.body().contains("\"last\":true")) {
            stops.incrementAndGet();
            connection.close();
          } else {
            FakeBackend.write(connection, COPIED);
          }
        };
    try (FakeBackend leaving = new FakeBackend(script);
        FakeBackend target = new FakeBackend(unframedStream(FakeBackend.plainEvent(3)))) {
      register("i-1", leaving, "ready", 1, "engines");
      try (Socket caller = openRawRequest("/stories/1", MODEL_HEADERS)) {
        caller.setSoTimeout(20_000);
        assertThat(started.await(20, TimeUnit.SECONDS)).isTrue();
        register("i-2", target, "ready", 1, "engines");
        register("i-1", leaving, "draining", 2, "engines");

        String response =
            new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(response).contains("token 2").doesNotEndWith(LAST_CHUNK);
        assertThat(stops).hasValue(1);
      }
    }
  }

  @Test
  void a_stream_whose_engine_is_taken_away_while_its_state_is_copied_is_incomplete()
      throws Exception {
    AtomicReference<FakeBackend> source = new AtomicReference<>();
    CountDownLatch started = new CountDownLatch(1);
    FakeBackend.ResponseScript script =
        (request, connection) -> {
          if (request.line().contains("kv-move")) {
            Objects.requireNonNull(source.get()).close();
          } else {
            String events = FakeBackend.plainEvent(1) + FakeBackend.plainEvent(2);
            FakeBackend.write(connection, FakeBackend.unframedStreamResponseHead(request) + events);
            started.countDown();
          }
        };
    try (FakeBackend leaving = new FakeBackend(script);
        FakeBackend target = new FakeBackend(unframedStream(FakeBackend.plainEvent(3)))) {
      source.set(leaving);
      register("i-1", leaving, "ready", 1, "engines");
      try (Socket caller = openRawRequest("/stories/1", MODEL_HEADERS)) {
        assertThat(started.await(20, TimeUnit.SECONDS)).isTrue();
        register("i-2", target, "ready", 1, "engines");
        register("i-1", leaving, "draining", 2, "engines");

        String response =
            new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(response).contains("token 2").doesNotEndWith(LAST_CHUNK);
        assertThat(List.copyOf(target.received())).isEmpty();
      }
    }
  }

  private static final String FOREIGN_EVENT = "id: 9\ndata: foreign\n\n";

  /** Answers of a second server to a stream that has begun, none of which may continue it. */
  private static final Map<String, String> FOREIGN_ANSWERS =
      Map.ofEntries(
          Map.entry("json", "200 OK\r\nResponse-Seal: s\r\nContent-Length: 7\r\n\r\nforeign"),
          Map.entry("unframed", "200 OK\r\nResponse-Seal: s\r\n\r\nforeign"),
          Map.entry("empty", "204 No Content\r\nResponse-Seal: s\r\n\r\n"),
          Map.entry("nothing", "200 OK\r\nResponse-Seal: s\r\nContent-Length: 0\r\n\r\n"),
          Map.entry("elsewhere", "302 Found\r\nResponse-Seal: s\r\nContent-Length: 0\r\n\r\n"),
          Map.entry("unknown", "404 X\r\nResponse-Seal: s\r\nContent-Length: 7\r\n\r\nforeign"),
          Map.entry("error", "500 X\r\nResponse-Seal: s\r\nContent-Length: 7\r\n\r\nforeign"),
          Map.entry("cut", "500 X\r\nResponse-Seal: s\r\n\r\nforeign"),
          Map.entry(
              "events",
              "500 X\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n"
                  + FOREIGN_EVENT),
          Map.entry(
              "unsealed", "200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + FOREIGN_EVENT));

  static Set<String> foreignAnswers() {
    return FOREIGN_ANSWERS.keySet();
  }

  @ParameterizedTest
  @MethodSource("foreignAnswers")
  void an_answer_of_another_kind_neither_continues_nor_ends_a_stream_that_has_begun(String name)
      throws Exception {
    FakeBackend.ResponseScript script =
        (request, connection) -> {
          if (request.header("Last-Event-Id").isEmpty()) {
            String head = FakeBackend.streamResponseHead(request);
            FakeBackend.write(connection, head + FakeBackend.event(1) + FakeBackend.event(2));
          } else {
            String idHeader = "\r\nAttempt-Id: " + request.header("Attempt-Id") + "\r\n";
            String answer = Objects.requireNonNull(FOREIGN_ANSWERS.get(name));
            FakeBackend.write(connection, "HTTP/1.1 " + answer.replaceFirst("\r\n", idHeader));
          }
          connection.close();
        };
    try (FakeBackend first = new FakeBackend(script);
        FakeBackend second = new FakeBackend(script)) {
      register("i-1", first, "ready", 1);
      register("i-2", second, "ready", 1);

      String response = sendRawRequest("/tags/1", "");

      assertThat(response)
          .contains("token 1", "token 2")
          .doesNotContain("foreign")
          .doesNotEndWith(LAST_CHUNK);
      assertThat(first.received().size() + second.received().size()).isEqualTo(2);
    }
  }
}
