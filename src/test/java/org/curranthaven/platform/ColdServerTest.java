package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against a cold backend server that gets more requests, from all gateways together, than
 * its service states.
 */
@Timeout(120)
class ColdServerTest extends RoutedFleetFixture {
  private static final int GATEWAYS = 3;
  private static final long WINDOW_MILLIS = 1_000;

  /** Bound at 24 requests/s, an excess of 1.5 and a slack of 5. */
  private static final long BOUND = 41;

  private static final long COLD_MILLIS = 5_000;

  /** Longer than the time for which a server that has just registered counts as cold. */
  private static final long WARM_UP_MILLIS = 1_300;

  private final List<FakeBackend> backends = new ArrayList<>();
  private final List<String> responses = Collections.synchronizedList(new ArrayList<>());

  @AfterEach
  void closeBackends() throws IOException {
    for (FakeBackend backend : backends) {
      backend.close();
    }
  }

  /** Starts a backend server that notes when requests arrive. */
  private FakeBackend startBackend(List<Long> arrivalsMillis) throws IOException {
    FakeBackend backend =
        new FakeBackend(
            (request, connection) -> {
              arrivalsMillis.add(nowMillis());
              Thread.sleep(10);
              FakeBackend.write(connection, FakeBackend.response(request, 200, "page"));
            });
    backends.add(backend);
    return backend;
  }

  private static long nowMillis() {
    return System.nanoTime() / 1_000_000;
  }

  private void registerCold(String id, FakeBackend backend, long sequence) throws Exception {
    String body =
        """
        {"service":"plain","address":"%s","zone":"here","version":"v1","slots":40,"state":"ready","seq":%d,
         "coldLeftMs":%d}
        """
            .formatted(backend.address(), sequence, COLD_MILLIS);
    BoundedWait.until(
        "control host accepts the registration of " + id,
        () -> isAccepted("/api/runners/" + id, body));
  }

  private void sendRequests(List<String> gateways, int requestsPerSecond, long durationMillis)
      throws Exception {
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      long count = requestsPerSecond * durationMillis / 1_000;
      for (int i = 0; i < count; i++) {
        String gateway = gateways.get(i % gateways.size());
        executor.submit(() -> responses.add(sendRawRequest(gateway, "/pages/1", "")));
        Thread.sleep(1_000 / requestsPerSecond);
      }
    }
  }

  private static List<Long> between(List<Long> times, long fromMillis, long toMillis) {
    return List.copyOf(times).stream()
        .filter(time -> time >= fromMillis && time < toMillis)
        .toList();
  }

  private static long mostInWindow(List<Long> times) {
    return times.stream()
        .mapToLong(
            start ->
                times.stream()
                    .filter(time -> time >= start && time < start + WINDOW_MILLIS)
                    .count())
        .max()
        .orElse(0);
  }

  @Test
  void a_server_that_becomes_cold_in_the_middle_of_traffic_gets_its_cold_rate() throws Exception {
    putCatalog(
        CATALOG
            .formatted(2)
            .replace(
                "{\"name\":\"plain\",", "{\"name\":\"plain\",\"coldPerS\":24,\"coldStartS\":1,"));
    List<String> gateways = new ArrayList<>(List.of(callerAddress));
    for (int number = 2; number <= GATEWAYS; number++) {
      gateways.add(startGateway(number));
    }
    List<Long> coldArrivals = Collections.synchronizedList(new ArrayList<>());
    List<Long> warmArrivals = Collections.synchronizedList(new ArrayList<>());
    FakeBackend cold = startBackend(coldArrivals);
    FakeBackend warm = startBackend(warmArrivals);
    register("i-cold", cold, "ready", 1);
    register("i-warm", warm, "ready", 1);
    Thread.sleep(WARM_UP_MILLIS);

    sendRequests(gateways, 150, 2_000);
    long warmAtMillis = nowMillis();
    registerCold("i-cold", cold, 2);
    long coldAtMillis = nowMillis();
    sendRequests(gateways, 150, COLD_MILLIS - 1_000);
    long endMillis = Math.min(nowMillis(), warmAtMillis + COLD_MILLIS);

    assertThat(mostInWindow(between(coldArrivals, 0, warmAtMillis))).isGreaterThan(BOUND);
    assertThat(mostInWindow(between(coldArrivals, coldAtMillis, endMillis))).isBetween(15L, BOUND);
    assertThat(responses).allMatch(response -> status(response) == 200);
  }
}
