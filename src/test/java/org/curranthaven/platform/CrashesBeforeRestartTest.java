package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a request that crashes more servers after each loss of all hosts. */
@Timeout(180)
class CrashesBeforeRestartTest {
  private static final int SERVERS = 3;

  /** Crashes after which the request is blocked. */
  private static final int CRASHES = 3;

  /** Times that the request may still reach servers after these, whatever happens to the hosts. */
  private static final int MAX_LATER_ARRIVALS = 3;

  /** Time within which all hosts must know of a crash. */
  private static final long CONTACT_MILLIS = 3_000;

  private static final int RESTARTS = 2;
  private static final int REQUESTS = 6;
  private static final long PAUSE_MILLIS = 300;

  @TempDir private Path folder;

  private final AtomicInteger arrivals = new AtomicInteger();
  private final List<FakeBackend> servers = new CopyOnWriteArrayList<>();
  private FleetProcesses fleet;
  private int nextServer = 1;

  @BeforeEach
  void startFleet() throws Exception {
    fleet = new FleetProcesses(folder);
    fleet.control("PUT", "/api/config", RoutedFleetFixture.CATALOG.formatted(1));
    startServers();
    fleet.awaitGateways();
  }

  @AfterEach
  void stop() throws Exception {
    fleet.close();
    for (FakeBackend server : servers) {
      server.close();
    }
  }

  /** Starts servers in the place of those that crashed. */
  private void startServers() throws Exception {
    while (servers.size() < SERVERS) {
      List<FakeBackend> self = new ArrayList<>();
      FakeBackend server =
          new FakeBackend(
              (request, connection) -> {
                if (request.line().contains("crash")) {
                  arrivals.incrementAndGet();
                  servers.remove(self.getFirst());
                  self.getFirst().refuseAndClose();
                } else {
                  FakeBackend.write(connection, FakeBackend.response(request, 200, "page"));
                }
              });
      self.add(server);
      servers.add(server);
      fleet.registerPlainServer(nextServer++, server);
    }
  }

  private void sendCrashingRequests(int times) throws Exception {
    for (int i = 0; i < times; i++) {
      List<String> gateways = fleet.gatewayAddresses();
      send(gateways.get(i % gateways.size()), "crash-" + arrivals.get() + "-" + i);
      Thread.sleep(PAUSE_MILLIS);
      startServers();
    }
  }

  private static void send(String gateway, String id) throws IOException {
    try (Socket connection = FleetProcesses.connect(gateway)) {
      FakeBackend.write(
          connection,
          """
          GET /pages/crash HTTP/1.1\r
          Host: site.example\r
          Attempt-Id: %s\r
          Deadline-Ms: 4000\r
          X-Api-Key: k1\r
          Connection: close\r
          \r
          """
              .formatted(id));
      String response =
          new String(connection.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertThat(response).doesNotStartWith("HTTP/1.1 200");
    }
  }

  @Test
  void a_request_that_crashed_three_servers_stays_blocked_after_all_hosts_were_killed()
      throws Exception {
    while (arrivals.get() < CRASHES) {
      sendCrashingRequests(1);
    }
    Thread.sleep(CONTACT_MILLIS);
    int arrivalsBefore = arrivals.get();

    for (int restart = 0; restart < RESTARTS; restart++) {
      fleet.killAndRestartAll();
      fleet.awaitGateways();
      for (FakeBackend server : List.copyOf(servers)) {
        fleet.registerPlainServer(nextServer++, server);
      }
      Thread.sleep(CONTACT_MILLIS);
      sendCrashingRequests(REQUESTS);
    }

    assertThat(arrivals.get() - arrivalsBefore).isLessThanOrEqualTo(MAX_LATER_ARRIVALS);
  }
}
