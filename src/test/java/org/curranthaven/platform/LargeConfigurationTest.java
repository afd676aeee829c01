package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against control hosts that end for want of memory, one leader after the other, while large
 * configurations are on their way to many gateways.
 */
@Timeout(120)
class LargeConfigurationTest {
  private static final int GATEWAYS = 65;

  /** 10 Mbit/s. */
  private static final int LINK_BYTES_PER_SECOND = 1_250_000;

  private static final int ROUTES = 2_800;

  /** Length of a path with which the routes make up the largest body of a control request. */
  private static final int LARGEST = 1_250;

  private static final int LARGEST_BYTES = 4 * 1024 * 1024;
  private static final int CHANGES = 6;
  private static final long CHANGE_INTERVAL_MILLIS = 330;

  /** Clients whose unread responses together exceed the memory of a control host. */
  private static final int READERS = 120;

  private static final long READ_INTERVAL_MILLIS = 25;

  @TempDir private Path folder;

  private FleetProcesses fleet;

  @BeforeEach
  void startFleet() throws Exception {
    fleet = new FleetProcesses(folder, new FleetProcesses.Shape(0, 100, List.of("here"), false));
    putCatalog(catalog(1, 1, ""));
  }

  @AfterEach
  void stop() throws Exception {
    fleet.close();
  }

  private void putCatalog(String catalog) throws Exception {
    fleet.control("PUT", "/api/config", catalog);
  }

  /** Returns a catalog with a number of routes, whose paths end with a text. */
  private static String catalog(int version, int routes, String padding) {
    String all =
        IntStream.range(0, routes)
            .mapToObj(
                number ->
                    """
                    {"name":"route-%1$d","host":"site.example","pathPrefix":"/route-%1$d%2$s/","kind":"idempotent",
                     "timeoutMs":60000,"targetLatencyMs":30000,"priority":1,"service":"plain","attempts":2}"""
                        .formatted(number, padding))
            .collect(Collectors.joining(","));
    return """
           {"version":%d,"routes":[%s],
            "services":[{"name":"plain","healthPath":"/health","maxConns":100}],
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,
              "idleTimeoutMs":15000},
            "tenants":[{"name":"t1","apiKeys":["k1"]}]}
           """
        .formatted(version, all);
  }

  @Test
  void control_hosts_run_on_while_large_configurations_follow_one_another() throws Exception {
    try (SlowGateways gateways =
        new SlowGateways(GATEWAYS, LINK_BYTES_PER_SECOND, fleet.controlPeerAddresses())) {
      int version = 2;
      for (int change = 0; change < CHANGES; change++) {
        String catalog = catalog(version++, ROUTES, "-".repeat(LARGEST));
        offer(catalog);
        Thread.sleep(CHANGE_INTERVAL_MILLIS);
      }

      putCatalog(catalog(version, ROUTES, "-".repeat(LARGEST)));

      awaitRevision(gateways, version);
      assertAllRun();
    }
  }

  @Test
  void control_hosts_run_on_while_the_largest_configuration_is_sent() throws Exception {
    try (SlowGateways gateways =
        new SlowGateways(GATEWAYS, LINK_BYTES_PER_SECOND, fleet.controlPeerAddresses())) {
      String largest = catalog(2, ROUTES, "-".repeat(LARGEST));
      assertThat(largest.length()).isBetween(LARGEST_BYTES * 9 / 10, LARGEST_BYTES);
      offer(largest);

      awaitRevision(gateways, 2);
      assertAllRun();
    }
  }

  @Test
  void control_hosts_run_on_while_clients_do_not_read_a_large_configuration() throws Exception {
    putCatalog(catalog(2, ROUTES, "-".repeat(LARGEST)));
    List<Socket> sockets = new ArrayList<>();
    try {
      for (int reader = 0; reader < READERS; reader++) {
        assertAllRun();
        Socket socket =
            FleetProcesses.connect(
                fleet.controlAddress(1 + reader % FleetProcesses.HOSTS_OF_A_ROLE));
        sockets.add(socket);
        FakeBackend.write(socket, "GET /api/config HTTP/1.1\r\nHost: control\r\n\r\n");
        Thread.sleep(READ_INTERVAL_MILLIS);
      }
      assertAllRun();
    } finally {
      for (Socket socket : sockets) {
        socket.close();
      }
    }

    putCatalog(catalog(3, 1, ""));
    assertAllRun();
  }

  private void offer(String catalog) {
    Thread.ofVirtual().start(() -> offerUninterrupted(catalog));
  }

  private void offerUninterrupted(String catalog) {
    try {
      fleet.offer(1, "PUT", "/api/config", catalog);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void assertAllRun() {
    assertThat(fleet.runningControls())
        .as(() -> "control hosts that run" + fleet.describeHosts())
        .isEqualTo(FleetProcesses.HOSTS_OF_A_ROLE);
  }

  private void awaitRevision(SlowGateways gateways, int revision) throws Exception {
    BoundedWait.until(
        "all gateways have the last configuration",
        fleet::describeHosts,
        () -> {
          assertAllRun();
          return gateways.withRevision(revision) == GATEWAYS;
        });
  }
}
