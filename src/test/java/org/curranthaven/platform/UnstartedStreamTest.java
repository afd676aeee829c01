package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a second run of a request that may run once: its engine ended it before the first
 * event, so that nothing shows that a backup copy exists, and another engine runs it from the
 * start.
 */
@Timeout(120)
class UnstartedStreamTest extends RoutedFleetFixture {
  private static final String MODEL_HEADERS = "Model: m\r\nToken-Count: 1000,4000\r\n";
  private static final String NOT_RUNNING = "HTTP/1.1 404 X\r\nContent-Length: 2\r\n\r\n{}";

  private static final String COPIED =
      "HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n{\"handle\":\"h7\",\"made\":0}";
  private static final long DEADLINE_MILLIS = 2_000;

  /** Time before the deadline at which the resumption begins to connect, for 400 ms. */
  private static final long CONNECTING_MILLIS = 250;

  /** What an engine sends before it closes the connection. */
  private static final Map<String, String> BEGINNINGS =
      Map.of(
          "nothing",
          "",
          "part of the head",
          "HTTP/1.1 200 OK\r\nAttempt-Id: r",
          "head",
          head("Transfer-Encoding: chunked\r\n"),
          "head of an unframed stream",
          head(""),
          "comment",
          head("Transfer-Encoding: chunked\r\n") + FakeBackend.chunk(": begun\n\n"),
          "part of the first event",
          head("Transfer-Encoding: chunked\r\n") + FakeBackend.chunk("id: 1\ndata: tok"));

  private static String head(String framing) {
    return "HTTP/1.1 200 OK\r\nAttempt-Id: r\r\nResponse-Seal: s\r\n"
        + "Content-Type: text/event-stream\r\n"
        + framing
        + "\r\n";
  }

  static Set<String> beginnings() {
    return BEGINNINGS.keySet();
  }

  @ParameterizedTest
  @MethodSource("beginnings")
  void a_request_whose_engine_ends_before_the_first_event_runs_nowhere_else(String name)
      throws Exception {
    AtomicBoolean started = new AtomicBoolean();
    FakeBackend.ResponseScript script =
        (request, connection) -> {
          if (request.line().contains("kv-move")) {
            FakeBackend.write(connection, NOT_RUNNING);
          } else if (started.compareAndSet(false, true)) {
            FakeBackend.write(connection, Objects.requireNonNull(BEGINNINGS.get(name)));
            connection.close();
          } else {
            FakeBackend.write(
                connection,
                FakeBackend.streamResponseHead(request)
                    + FakeBackend.event(1)
                    + FakeBackend.chunk(""));
          }
        };
    try (FakeBackend first = new FakeBackend(script);
        FakeBackend second = new FakeBackend(script)) {
      register("i-1", first, "ready", 1, "engines");
      register("i-2", second, "ready", 1, "engines");

      try (Socket caller = openRawRequest(callerAddress, "r", "/stories/1", MODEL_HEADERS)) {
        caller.getInputStream().readAllBytes();
      }

      List<FakeBackend.ReceivedRequest> received = new ArrayList<>(first.received());
      received.addAll(second.received());
      assertThat(received)
          .filteredOn(request -> request.line().contains("/stories/"))
          .singleElement()
          .satisfies(request -> assertThat(request.header("Kv-Backup")).isNotEmpty());
    }
  }

  /** Guards against a promise that a request did not run, made while it is resumed elsewhere. */
  @Test
  void a_request_whose_deadline_passes_while_its_resumption_connects_may_have_run()
      throws Exception {
    AtomicInteger stops = new AtomicInteger();
    List<FakeBackend> engines = new CopyOnWriteArrayList<>();
    FakeBackend.ResponseScript script =
        (request, connection) -> {
          if (request.line().contains("kv-move")) {
            stops.incrementAndGet();
            FakeBackend.write(connection, COPIED);
            return;
          }
          long startMillis = System.nanoTime() / 1_000_000;
          for (FakeBackend engine : engines) {
            if (!engine.received().contains(request)) {
              engine.dropConnections();
            }
          }
          long passedMillis = System.nanoTime() / 1_000_000 - startMillis;
          Thread.sleep(Math.max(0, DEADLINE_MILLIS - CONNECTING_MILLIS - passedMillis));
          connection.close();
        };
    try (FakeBackend first = new FakeBackend(script);
        FakeBackend second = new FakeBackend(script)) {
      engines.addAll(List.of(first, second));
      register("i-1", first, "ready", 1, "engines");
      register("i-2", second, "ready", 1, "engines");

      int status = status(sendRequestWithDeadline());

      assertThat(stops.get()).isPositive();
      assertThat(status).isIn(502, 504);
    }
  }

  private String sendRequestWithDeadline() throws Exception {
    int port = Integer.parseInt(callerAddress.substring(callerAddress.indexOf(':') + 1));
    try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
      caller.setSoTimeout(20_000);
      FakeBackend.write(
          caller,
          "POST /stories/1 HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: r\r\nDeadline-Ms: "
              + DEADLINE_MILLIS
              + "\r\n"
              + MODEL_HEADERS
              + "X-Api-Key: k1\r\nConnection: close\r\nContent-Length: 8\r\n\r\nquestion");
      return new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }
}
