package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against backend servers that get more requests, from all hosts together, than the limit
 * that they state in their responses.
 */
@Timeout(120)
class RateLimitTest extends RoutedFleetFixture {
  private static final int GATEWAYS = 3;
  private static final long WINDOW_MILLIS = 4_000;

  /** Requests beyond the limit in a window: the burst, and one that another delay brings in. */
  private static final int BURST = 3;

  /** Time from the first stated limit to every host obeying it. */
  private static final long HEARING_MILLIS = 500;

  private final List<LimitedBackend> backends = new ArrayList<>();
  private final List<String> gateways = new ArrayList<>();
  private final List<String> responses = Collections.synchronizedList(new ArrayList<>());

  /** A backend server that states a limit in each response while it has one. */
  private static final class LimitedBackend {
    private final List<Long> arrivalsMillis = Collections.synchronizedList(new ArrayList<>());
    private final FakeBackend server;
    private volatile String limit;

    LimitedBackend(String limit) throws IOException {
      this.limit = limit;
      this.server =
          new FakeBackend(
              (request, connection) -> {
                arrivalsMillis.add(nowMillis());
                Thread.sleep(20);
                String response = FakeBackend.response(request, 200, "page");
                String statement =
                    this.limit.isEmpty() ? "" : "\r\nServer-Limit: " + this.limit + "\r\n";
                FakeBackend.write(
                    connection,
                    statement.isEmpty() ? response : response.replaceFirst("\r\n", statement));
              });
    }

    /** Returns the most arrivals in any window that begins at the given time or later. */
    long mostInWindow(long fromMillis) {
      List<Long> arrivals = List.copyOf(arrivalsMillis);
      return arrivals.stream()
          .filter(start -> start >= fromMillis)
          .mapToLong(
              start ->
                  arrivals.stream()
                      .filter(arrival -> arrival >= start && arrival < start + WINDOW_MILLIS)
                      .count())
          .max()
          .orElse(0);
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
    for (LimitedBackend backend : backends) {
      backend.server.close();
    }
  }

  private LimitedBackend startBackend(String limit) throws Exception {
    LimitedBackend backend = new LimitedBackend(limit);
    backends.add(backend);
    register("i-" + backends.size(), backend.server, "ready", 1);
    return backend;
  }

  /** Sends requests at a steady rate to all gateways in turn, and waits for their responses. */
  private void sendRequests(int requestsPerSecond, long durationMillis) throws Exception {
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      long count = requestsPerSecond * durationMillis / 1_000;
      for (int i = 0; i < count; i++) {
        String gateway = gateways.get(i % gateways.size());
        executor.submit(() -> responses.add(sendRawRequest(gateway, "/pages/1", "")));
        Thread.sleep(1_000 / requestsPerSecond);
      }
    }
  }

  @Test
  void a_backend_server_gets_no_more_requests_than_the_limit_that_it_states() throws Exception {
    LimitedBackend low = startBackend("1");
    LimitedBackend high = startBackend("3.6");
    LimitedBackend unlimited = startBackend("");
    long startMillis = nowMillis();

    sendRequests(40, 7_000);

    long fromMillis = startMillis + HEARING_MILLIS;
    assertThat(low.mostInWindow(fromMillis)).isLessThanOrEqualTo(4 + BURST);
    assertThat(high.mostInWindow(fromMillis)).isBetween(8L, 14L + BURST);
    assertThat(unlimited.mostInWindow(fromMillis)).isGreaterThan(100);
    assertThat(responses).allMatch(response -> status(response) == 200);
  }

  @Test
  void what_all_limits_together_do_not_allow_is_rejected_at_once() throws Exception {
    LimitedBackend first = startBackend("2");
    LimitedBackend second = startBackend("2.5");
    sendRequests(20, 1_000);
    responses.clear();
    long startMillis = nowMillis();

    List<Long> millisToReject = Collections.synchronizedList(new ArrayList<>());
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      for (int i = 0; i < 120; i++) {
        String gateway = gateways.get(i % gateways.size());
        executor.submit(
            () -> {
              long sentAtMillis = nowMillis();
              String response = sendRawRequest(gateway, "/quick/1", "");
              responses.add(response);
              if (status(response) == 503) {
                millisToReject.add(nowMillis() - sentAtMillis);
              }
              return null;
            });
        Thread.sleep(50);
      }
    }

    assertThat(first.mostInWindow(startMillis)).isLessThanOrEqualTo(8 + BURST);
    assertThat(second.mostInWindow(startMillis)).isLessThanOrEqualTo(10 + BURST);
    assertThat(responses).allMatch(response -> status(response) == 200 || status(response) == 503);
    assertThat(responses).filteredOn(response -> status(response) == 503).isNotEmpty();
    assertThat(responses)
        .filteredOn(response -> status(response) == 503)
        .allMatch(response -> response.contains("retry-after"));
    assertThat(millisToReject).allMatch(millis -> millis < 900);
    assertThat(millisToReject.stream().filter(millis -> millis < 200).count())
        .isGreaterThan(millisToReject.size() / 2);
  }

  @Test
  void a_limit_lasts_as_long_as_the_backend_server_states_it() throws Exception {
    LimitedBackend limited = startBackend("2");
    LimitedBackend unlimited = startBackend("");
    sendRequests(40, 3_000);
    long whileLimited = limited.arrivalsMillis.size();

    limited.limit = "";
    sendRequests(40, 5_000);

    assertThat(whileLimited).isLessThan(25);
    assertThat(limited.arrivalsMillis).hasSizeGreaterThan(60);
    assertThat(unlimited.arrivalsMillis).isNotEmpty();
    assertThat(responses).allMatch(response -> status(response) == 200);
  }
}
