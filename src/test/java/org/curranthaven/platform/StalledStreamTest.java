package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against streams that are cut although they are only slow, and against stalled streams that
 * never end because their engine sends bytes that are no output now and then.
 */
@Timeout(120)
class StalledStreamTest extends RoutedFleetFixture {
  private static final String MODEL_HEADERS = "Model: m\r\nToken-Count: 1000,4000\r\n";
  private static final long MAX_RECOVERY_MILLIS = 8_000;

  private static final FakeBackend.ResponseScript RESUMED_STREAM =
      (request, connection) ->
          FakeBackend.write(
              connection,
              FakeBackend.streamResponseHead(request)
                  + FakeBackend.event(2)
                  + FakeBackend.chunk(""));

  /** Runs a stream on one of two engines, with its backup copy on the other. */
  private String runStream(FakeBackend.ResponseScript engineScript) throws Exception {
    FakeBackend.ResponseScript script =
        (request, connection) -> {
          if (request.header("Kv-From").isEmpty()) {
            engineScript.respond(request, connection);
          } else {
            RESUMED_STREAM.respond(request, connection);
          }
        };
    try (FakeBackend first = new FakeBackend(script);
        FakeBackend second = new FakeBackend(script)) {
      register("i-1", first, "ready", 1, "engines");
      register("i-2", second, "ready", 1, "engines");
      String response = sendRawRequest("/stories/1", MODEL_HEADERS);
      List<FakeBackend.ReceivedRequest> received = new ArrayList<>(first.received());
      received.addAll(second.received());
      assertThat(received).isNotEmpty();
      return response;
    }
  }

  @Test
  void a_stalled_stream_whose_engine_sends_comments_now_and_then_resumes_elsewhere()
      throws Exception {
    long startMillis = System.nanoTime() / 1_000_000;

    String response =
        runStream(
            (request, connection) -> {
              if (request.line().contains("kv-move")) {
                FakeBackend.write(connection, "HTTP/1.1 404 X\r\nContent-Length: 2\r\n\r\n{}");
                return;
              }
              FakeBackend.write(
                  connection, FakeBackend.streamResponseHead(request) + FakeBackend.event(1));
              while (true) {
                Thread.sleep(200);
                FakeBackend.write(connection, FakeBackend.chunk(": still here\n\n"));
              }
            });

    assertThat(response).contains("token 1", "token 2").endsWith("0\r\n\r\n");
    assertThat(System.nanoTime() / 1_000_000 - startMillis).isLessThan(MAX_RECOVERY_MILLIS);
  }

  @Test
  void a_stream_that_pauses_on_a_slow_but_sound_engine_is_not_cut() throws Exception {
    String response =
        runStream(
            (request, connection) -> {
              if (request.line().contains("kv-move")) {
                // Too slow to answer in time, as it is with its stream.
                Thread.sleep(5_000);
                return;
              }
              FakeBackend.write(
                  connection, FakeBackend.streamResponseHead(request) + FakeBackend.event(1));
              Thread.sleep(2_500);
              FakeBackend.write(connection, FakeBackend.event(2) + FakeBackend.chunk(""));
            });

    assertThat(response).contains("token 1", "token 2").endsWith("0\r\n\r\n");
  }

  /** Changes how the engine of a stream handles new connections. */
  private interface Change {
    void apply(FakeBackend engine) throws Exception;
  }

  /** How the engine of a stream goes on after its first event. */
  private interface Continuation {
    void run(Socket connection) throws Exception;
  }

  private record Outcome(String response, long resumptions) {}

  /** Runs a stream on one of two engines, which handles new connections otherwise from then on. */
  private Outcome runStream(Change change, Continuation continuation) throws Exception {
    List<FakeBackend> engines = new CopyOnWriteArrayList<>();
    FakeBackend.ResponseScript script =
        (request, connection) -> {
          if (!request.header("Kv-From").isEmpty()) {
            RESUMED_STREAM.respond(request, connection);
            return;
          }
          FakeBackend.write(
              connection, FakeBackend.streamResponseHead(request) + FakeBackend.event(1));
          for (FakeBackend engine : engines) {
            if (engine.received().contains(request)) {
              change.apply(engine);
            }
          }
          continuation.run(connection);
        };
    try (FakeBackend first = new FakeBackend(script);
        FakeBackend second = new FakeBackend(script)) {
      engines.addAll(List.of(first, second));
      register("i-1", first, "ready", 1, "engines");
      register("i-2", second, "ready", 1, "engines");
      String response = sendRawRequest("/stories/1", MODEL_HEADERS);
      long resumptions =
          engines.stream()
              .flatMap(engine -> engine.received().stream())
              .filter(request -> !request.header("Kv-From").isEmpty())
              .count();
      return new Outcome(response, resumptions);
    }
  }

  /** Guards against a stream that two engines generate at the same time. */
  @Test
  void a_stream_that_pauses_goes_on_although_its_engine_refuses_new_connections() throws Exception {
    Outcome outcome =
        runStream(
            FakeBackend::refuseConnections,
            connection -> {
              Thread.sleep(4_000);
              FakeBackend.write(connection, FakeBackend.event(2) + FakeBackend.chunk(""));
            });

    assertThat(outcome.response()).contains("token 1", "token 2").endsWith("0\r\n\r\n");
    assertThat(outcome.resumptions()).isZero();
  }

  /** Guards against a stream that two engines generate at the same time. */
  @Test
  void a_stream_with_comments_goes_on_although_its_engine_drops_new_connections() throws Exception {
    Outcome outcome =
        runStream(
            FakeBackend::dropConnections,
            connection -> {
              for (int i = 0; i < 20; i++) {
                Thread.sleep(200);
                FakeBackend.write(connection, FakeBackend.chunk(": still here\n\n"));
              }
              FakeBackend.write(connection, FakeBackend.event(2) + FakeBackend.chunk(""));
            });

    assertThat(outcome.response()).contains("token 1", "token 2").endsWith("0\r\n\r\n");
    assertThat(outcome.resumptions()).isZero();
  }

  @Test
  void a_silent_stream_whose_engine_cannot_be_reached_resumes_elsewhere() throws Exception {
    Outcome outcome = runStream(FakeBackend::dropConnections, connection -> Thread.sleep(20_000));

    assertThat(outcome.response()).contains("token 1", "token 2").endsWith("0\r\n\r\n");
    assertThat(outcome.resumptions()).isEqualTo(1);
  }

  /** Guards against a stream that its engine stopped and that reaches its caller as complete. */
  @Test
  void a_stream_whose_engine_stops_it_and_answers_only_the_second_stop_request_is_not_complete()
      throws Exception {
    AtomicInteger stops = new AtomicInteger();
    CountDownLatch stopped = new CountDownLatch(1);
    FakeBackend.ResponseScript script =
        (request, connection) -> {
          if (request.line().contains("kv-move") && stops.incrementAndGet() == 1) {
            stopped.countDown();
            Thread.sleep(5_000);
          } else if (request.line().contains("kv-move")) {
            FakeBackend.write(connection, "HTTP/1.1 404 X\r\nContent-Length: 2\r\n\r\n{}");
          } else if (!request.header("Kv-From").isEmpty()) {
            FakeBackend.write(
                connection,
                FakeBackend.streamResponseHead(request)
                    + FakeBackend.event(2)
                    + FakeBackend.chunk(""));
          } else {
            FakeBackend.write(
                connection,
                FakeBackend.unframedStreamResponseHead(request) + FakeBackend.plainEvent(1));
            assertThat(stopped.await(10, TimeUnit.SECONDS)).isTrue();
            connection.close();
          }
        };
    try (FakeBackend first = new FakeBackend(script);
        FakeBackend second = new FakeBackend(script)) {
      register("i-1", first, "ready", 1, "engines");
      register("i-2", second, "ready", 1, "engines");

      String response = sendRawRequest("/stories/1", "Model: m\r\nToken-Count: 1000,4000\r\n");

      boolean complete = response.endsWith("0\r\n\r\n");
      assertThat(!complete || response.contains("token 2")).as(response).isTrue();
    }
  }
}
