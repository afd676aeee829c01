package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against requests that a planned stop of a gateway cuts off without a response. */
@Timeout(120)
class PlannedStopTest extends RoutedFleetFixture {
  private static final int LARGE_BODY_BYTES = 6 * 1024 * 1024;

  /** Time from the start of a planned stop to the end of the process, as the fixture sets it. */
  private static final long GRACE_MILLIS = 8_000;

  private static final long LONG_RUN_MILLIS = 20_000;
  private static final long LONG_REQUEST_INTERVAL_MILLIS = 100;
  private static final int BACKEND_SLOTS = 4;
  private static final int WAITING_REQUESTS = 60;

  /** Longer than load balancers take to detect a planned stop, and well before its end. */
  private static final long FREED_AFTER_MILLIS = 4_500;

  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

  private Future<Integer> startDrain() {
    return executor.submit(() -> gateway().drain());
  }

  @Test
  void requests_accepted_until_the_end_of_a_planned_stop_under_load_get_a_response()
      throws Exception {
    try (FakeBackend backend =
        new FakeBackend(
            (request, connection) -> {
              Thread.sleep(100);
              FakeBackend.write(connection, FakeBackend.response(request, 200, "page"));
            })) {
      register("i-1", backend, "ready", 1);
      List<String> responses = Collections.synchronizedList(new ArrayList<>());
      List<Future<?>> callers = new ArrayList<>();
      Future<Integer> drain = startDrain();
      for (int i = 0; i < 3; i++) {
        callers.add(executor.submit(() -> sendUntilRefused(responses)));
      }

      assertThat(drain.get()).isZero();

      for (Future<?> caller : callers) {
        caller.get();
      }
      assertThat(responses).isNotEmpty().allMatch(response -> response.startsWith("HTTP/1.1 "));
      assertThatThrownBy(() -> openRawRequest("/pages/1", "").close())
          .isInstanceOf(IOException.class);
    }
  }

  /** Sends requests on new connections until the gateway accepts none. */
  private Object sendUntilRefused(List<String> responses) throws Exception {
    while (true) {
      Socket socket;
      try {
        socket = openRawRequest("/pages/1", "");
      } catch (IOException e) {
        return responses;
      }
      try (socket) {
        responses.add(new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
      } catch (IOException e) {
        // The request crossed the close: nothing of it was read.
      }
    }
  }

  @Test
  void a_response_that_its_caller_reads_slowly_is_not_cut_off_by_a_planned_stop() throws Exception {
    try (FakeBackend backend =
        new FakeBackend(
            (request, connection) ->
                FakeBackend.write(
                    connection,
                    FakeBackend.response(request, 200, "x".repeat(LARGE_BODY_BYTES))))) {
      register("i-1", backend, "ready", 1);
      try (Socket caller = openRawRequest("/pages/1", "")) {
        Thread.sleep(500);
        Future<Integer> drain = startDrain();
        Thread.sleep(4_200);

        int bytes = readAll(caller.getInputStream());

        assertThat(bytes).isGreaterThan(LARGE_BODY_BYTES);
        drain.get();
      }
    }
  }

  /**
   * Guards against accepted requests that the end of a planned stop cuts off without a response.
   */
  @Test
  void requests_that_outlast_a_planned_stop_get_a_truthful_response_before_the_process_ends()
      throws Exception {
    Set<String> received = ConcurrentHashMap.newKeySet();
    try (FakeBackend backend =
        new FakeBackend(
            (request, connection) -> {
              received.add(request.header("Attempt-Id"));
              Thread.sleep(LONG_RUN_MILLIS);
            })) {
      register("i-1", backend, "ready", 1);
      Map<String, Future<String>> responses = new HashMap<>();
      Future<Integer> drain = startDrain();
      long endMillis = System.currentTimeMillis() + GRACE_MILLIS;
      for (int number = 0; !drain.isDone(); number++) {
        String id = "long-" + number;
        responses.put(id, executor.submit(() -> sendLongRequest(id)));
        Thread.sleep(LONG_REQUEST_INTERVAL_MILLIS);
      }

      assertThat(System.currentTimeMillis()).isLessThan(endMillis);
      assertThat(received).isNotEmpty();
      assertThat(responses.size()).isGreaterThan(received.size());
      for (Map.Entry<String, Future<String>> response : responses.entrySet()) {
        long leftMillis = Math.max(1, endMillis - System.currentTimeMillis());
        assertThat(response.getValue())
            .as(response.getKey())
            .succeedsWithin(Duration.ofMillis(leftMillis));
        String text = response.getValue().get();
        int expected = received.contains(response.getKey()) ? 502 : 503;
        assertThat(text).as(response.getKey()).startsWith("HTTP/1.1 " + expected);
        assertThat(text.toLowerCase(Locale.ROOT)).contains("\r\nconnection: close\r\n");
        assertThat(text.contains("\r\nretry-after: ")).isEqualTo(expected == 503);
      }
    }
  }

  private String sendLongRequest(String id) throws Exception {
    try (Socket socket = openRawRequest(callerAddress, id, "/holds/1", "")) {
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  /** Guards against a request that waits until the end of a planned stop for nothing. */
  @Test
  void a_request_that_waits_and_may_outlast_a_planned_stop_is_rejected_and_never_run()
      throws Exception {
    Set<String> received = ConcurrentHashMap.newKeySet();
    try (FakeBackend backend =
        new FakeBackend(
            (request, connection) -> {
              received.add(request.header("Attempt-Id"));
              Thread.sleep(FREED_AFTER_MILLIS);
              FakeBackend.write(connection, FakeBackend.response(request, 200, "held"));
            })) {
      register("i-1", backend, "ready", 1);
      Map<String, Future<String>> responses = new HashMap<>();
      for (int number = 0; number < WAITING_REQUESTS; number++) {
        String id = "held-" + number;
        responses.put(id, executor.submit(() -> sendLongRequest(id)));
      }
      BoundedWait.until("the backend server is full", () -> received.size() >= BACKEND_SLOTS);
      Thread.sleep(300);
      Set<String> first = Set.copyOf(received);
      assertThat(first.size()).isLessThan(WAITING_REQUESTS);

      assertThat(startDrain().get()).isZero();

      for (Map.Entry<String, Future<String>> response : responses.entrySet()) {
        String text = response.getValue().get(1, TimeUnit.SECONDS);
        int expected = first.contains(response.getKey()) ? 200 : 503;
        assertThat(text).as(response.getKey()).startsWith("HTTP/1.1 " + expected);
      }
      assertThat(received).isEqualTo(first);
    }
  }

  private static int readAll(InputStream in) throws IOException {
    byte[] buffer = new byte[65_536];
    int total = 0;
    int count = in.read(buffer);
    while (count >= 0) {
      total += count;
      count = in.read(buffer);
    }
    return total;
  }
}
