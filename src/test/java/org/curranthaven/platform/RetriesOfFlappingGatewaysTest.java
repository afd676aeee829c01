package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against retries past the limit while gateways lose and find their scheduler. */
@Timeout(120)
class RetriesOfFlappingGatewaysTest {
  private static final int SERVERS = 4;
  private static final double RETRY_RATIO = 0.2;
  private static final int RETRY_SLACK = 100;
  private static final long WINDOW_MILLIS = 10_000;
  private static final long REQUEST_INTERVAL_MILLIS = 15;
  private static final long WARM_UP_MILLIS = 11_000;
  private static final int SUSPENSIONS = 12;

  /** Longer than a gateway waits for a reply of its scheduler. */
  private static final long SUSPENDED_MILLIS = 500;

  private static final long RUNNING_MILLIS = 900;

  @TempDir private Path folder;

  private final List<FakeBackend> servers = new ArrayList<>();
  private final Set<String> arrived = ConcurrentHashMap.newKeySet();
  private final List<Long> repeats = new CopyOnWriteArrayList<>();
  private final List<Long> requests = new CopyOnWriteArrayList<>();
  private FleetProcesses fleet;
  private volatile boolean stopped;

  @BeforeEach
  void startFleet() throws Exception {
    fleet = new FleetProcesses(folder);
    fleet.control("PUT", "/api/config", RoutedFleetFixture.CATALOG.formatted(1));
    fleet.awaitGateways();
    for (int number = 1; number <= SERVERS; number++) {
      FakeBackend server = new FakeBackend(this::fail);
      servers.add(server);
      fleet.registerPlainServer(number, server);
    }
  }

  @AfterEach
  void stop() throws Exception {
    stopped = true;
    fleet.close();
    for (FakeBackend server : servers) {
      server.close();
    }
  }

  private void fail(FakeBackend.ReceivedRequest request, Socket connection) throws IOException {
    if (!arrived.add(request.header("Attempt-Id"))) {
      repeats.add(nowMillis());
    }
    FakeBackend.write(connection, FakeBackend.response(request, 500, "failed"));
  }

  private static long nowMillis() {
    return System.nanoTime() / 1_000_000;
  }

  private void sendRequests() {
    List<String> gateways = fleet.gatewayAddresses();
    for (int number = 0; !stopped; number++) {
      String gateway = gateways.get(number % gateways.size());
      String id = "request-" + number;
      requests.add(nowMillis());
      Thread.ofVirtual().start(() -> send(gateway, id));
      pause(REQUEST_INTERVAL_MILLIS);
    }
  }

  private static void send(String gateway, String id) {
    try (Socket connection = FleetProcesses.connect(gateway)) {
      FakeBackend.write(
          connection,
          """
          GET /quick/1 HTTP/1.1\r
          Host: site.example\r
          Attempt-Id: %s\r
          Deadline-Ms: 2000\r
          X-Api-Key: k1\r
          Connection: close\r
          \r
          """
              .formatted(id));
      connection.getInputStream().readAllBytes();
    } catch (IOException e) {
      // Only what arrives at the servers counts.
    }
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Test
  void retries_stay_within_the_limit_while_the_control_hosts_are_suspended_again_and_again()
      throws Exception {
    Thread.ofVirtual().start(this::sendRequests);
    pause(WARM_UP_MILLIS);
    for (int i = 0; i < SUSPENSIONS; i++) {
      fleet.suspendControls(true);
      pause(SUSPENDED_MILLIS);
      fleet.suspendControls(false);
      pause(RUNNING_MILLIS);
    }
    stopped = true;

    double worst = Double.NEGATIVE_INFINITY;
    for (long start : List.copyOf(repeats)) {
      long sent =
          Math.max(
              count(requests, start),
              Math.max(
                  count(requests, start - WINDOW_MILLIS),
                  count(requests, start - WINDOW_MILLIS / 2)));
      worst = Math.max(worst, count(repeats, start) - RETRY_RATIO * sent - RETRY_SLACK);
    }
    assertThat(worst).as("retries past the limit in the worst window").isLessThanOrEqualTo(0);
    assertThat(repeats).as("retries at all").hasSizeGreaterThan(RETRY_SLACK);
  }

  private static long count(List<Long> times, long start) {
    return times.stream().filter(time -> time >= start && time < start + WINDOW_MILLIS).count();
  }
}
