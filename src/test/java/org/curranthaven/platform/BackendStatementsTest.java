package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against requests to backend servers that have stated in a response that they leave, or
 * that they want none for some time.
 */
@Timeout(120)
class BackendStatementsTest extends RoutedFleetFixture {
  private static final int GATEWAYS = 3;

  /** Time after a statement in which requests may still be on their way. */
  private static final long HEARING_MILLIS = 500;

  private static final long REST_MILLIS = 3_000;

  private final List<String> gateways = new ArrayList<>();
  private final List<StatingBackend> backends = new ArrayList<>();
  private final List<String> responses = Collections.synchronizedList(new ArrayList<>());
  private final List<Long> millisToReject = Collections.synchronizedList(new ArrayList<>());

  /** An arrival of a request, and the number of the gateway that it came through. */
  private record Arrival(long atMillis, String gateway) {}

  /** A backend server whose responses have a status and further headers. */
  private static final class StatingBackend {
    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private final FakeBackend server;
    private volatile int status = 200;
    private volatile String headers = "";

    StatingBackend() throws IOException {
      this.server =
          new FakeBackend(
              (request, connection) -> {
                arrivals.add(new Arrival(nowMillis(), request.header("Gateway-Number")));
                Thread.sleep(10);
                String response = FakeBackend.response(request, status, "page");
                FakeBackend.write(connection, response.replaceFirst("\r\n", "\r\n" + headers));
              });
    }

    long arrivalsAfter(long fromMillis) {
      return arrivals.stream().filter(arrival -> arrival.atMillis() > fromMillis).count();
    }
  }

  private static long nowMillis() {
    return System.nanoTime() / 1_000_000;
  }

  @BeforeEach
  void startGateways() throws Exception {
    gateways.add(callerAddress);
    for (int number = 2; number <= GATEWAYS; number++) {
      gateways.add(startGateway(number));
    }
  }

  @AfterEach
  void closeBackends() throws IOException {
    for (StatingBackend backend : backends) {
      backend.server.close();
    }
  }

  private StatingBackend startBackend() throws Exception {
    StatingBackend backend = new StatingBackend();
    backends.add(backend);
    register("i-" + backends.size(), backend.server, "ready", 1);
    return backend;
  }

  /** Sends requests to all gateways in turn, 50 ms apart, and waits for their responses. */
  private void sendRequests(long durationMillis) throws Exception {
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      for (int i = 0; i < durationMillis / 50; i++) {
        int number = i % GATEWAYS;
        executor.submit(
            () -> {
              long sentAtMillis = nowMillis();
              String response =
                  sendRawRequest(
                      gateways.get(number), "/quick/1", "Gateway-Number: " + number + "\r\n");
              responses.add(response);
              if (status(response) == 503) {
                millisToReject.add(nowMillis() - sentAtMillis);
              }
              return null;
            });
        Thread.sleep(50);
      }
    }
  }

  @Test
  void a_server_that_states_that_it_leaves_gets_no_more_requests_although_it_registers_as_ready()
      throws Exception {
    StatingBackend leaving = startBackend();
    StatingBackend staying = startBackend();
    sendRequests(1_000);
    assertThat(leaving.arrivals).isNotEmpty();

    leaving.headers = "Server-Leaving: 1\r\n";
    long fromMillis = nowMillis() + HEARING_MILLIS;
    for (int seq = 2; seq < 8; seq++) {
      sendRequests(500);
      register("i-1", leaving.server, "ready", seq);
    }

    assertThat(leaving.arrivalsAfter(fromMillis)).isZero();
    assertThat(staying.arrivalsAfter(fromMillis)).isGreaterThan(30);
    assertThat(responses).allMatch(response -> status(response) == 200);
  }

  @Test
  void requests_are_rejected_at_once_when_the_last_server_states_that_it_leaves() throws Exception {
    StatingBackend last = startBackend();
    last.headers = "Server-Leaving: 1\r\n";
    sendRequests(300);
    long fromMillis = nowMillis() + HEARING_MILLIS;

    sendRequests(2_000);

    assertThat(last.arrivalsAfter(fromMillis)).isZero();
    assertThat(millisToReject).hasSizeGreaterThan(20).allMatch(millis -> millis < 300);
  }

  @Test
  void a_server_that_rejects_for_a_time_gets_nothing_from_that_gateway_until_then()
      throws Exception {
    StatingBackend resting = startBackend();
    startBackend();
    resting.status = 503;
    resting.headers = "Not-Executed: 1\r\nRetry-After: 3\r\n";

    sendRequests(8_000);

    for (int number = 0; number < GATEWAYS; number++) {
      assertThat(arrivalsWithinRest(resting, String.valueOf(number))).isLessThanOrEqualTo(2);
    }
    assertThat(resting.arrivals).hasSizeBetween(GATEWAYS, 8 * GATEWAYS);
    assertThat(responses).allMatch(response -> status(response) == 200);
  }

  /** Returns the arrivals from half a second after a rejection to the end of the stated time. */
  private static long arrivalsWithinRest(StatingBackend backend, String gateway) {
    List<Long> arrivals =
        backend.arrivals.stream()
            .filter(arrival -> arrival.gateway().equals(gateway))
            .map(Arrival::atMillis)
            .toList();
    return arrivals.stream()
        .filter(
            arrival ->
                arrivals.stream()
                    .anyMatch(
                        rejected ->
                            arrival > rejected + HEARING_MILLIS
                                && arrival < rejected + REST_MILLIS))
        .count();
  }

  @Test
  void malformed_statements_change_nothing() throws Exception {
    StatingBackend backend = startBackend();
    backend.headers = "Server-Leaving: perhaps\r\nRetry-After: -7\r\n";

    sendRequests(1_000);

    assertThat(responses).hasSize(20).allMatch(response -> status(response) == 200);
  }
}
