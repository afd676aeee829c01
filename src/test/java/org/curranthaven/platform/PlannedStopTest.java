package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against requests that a planned stop of a gateway cuts off without a response. */
@Timeout(120)
class PlannedStopTest extends RoutedFleetFixture {
  private static final int LARGE_BODY_BYTES = 6 * 1024 * 1024;

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
