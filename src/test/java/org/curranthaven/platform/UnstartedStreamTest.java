package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
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
}
