package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Suspends a gateway process while servers of a new software version join. Guards against streams
 * that began on these servers through other gateways, are taken up at the suspended one and go on
 * at a server of another version.
 */
@Timeout(180)
class SuspendedGatewayTest {
  private static final int EVENTS_BEFORE_CUT = 3;
  private static final int EVENTS = 6;
  private static final int STREAMS = 12;
  private static final int SUSPENDED_GATEWAY = 1;

  @TempDir private Path folder;

  private final Map<String, Set<String>> versionsByStream = new ConcurrentHashMap<>();
  private final List<FakeBackend> servers = new ArrayList<>();
  private FleetProcesses fleet;

  @BeforeEach
  void startFleet() throws Exception {
    fleet = new FleetProcesses(folder);
    fleet.control("PUT", "/api/config", RoutedFleetFixture.CATALOG.formatted(1));
    fleet.awaitGateways();
  }

  @AfterEach
  void stop() throws Exception {
    fleet.close();
    for (FakeBackend server : servers) {
      server.close();
    }
  }

  private void startServer(String id, String version) throws Exception {
    FakeBackend server =
        new FakeBackend(
            (request, connection) -> {
              boolean resumed = !request.header("Last-Event-Id").isEmpty();
              versionsByStream
                  .computeIfAbsent(
                      request.line().split(" ")[1], key -> ConcurrentHashMap.newKeySet())
                  .add(version);
              FakeBackend.write(connection, FakeBackend.streamResponseHead(request));
              int first = resumed ? EVENTS_BEFORE_CUT + 1 : 1;
              int last = resumed ? EVENTS : EVENTS_BEFORE_CUT;
              for (int event = first; event <= last; event++) {
                FakeBackend.write(connection, FakeBackend.event(event));
              }
              if (resumed) {
                FakeBackend.write(connection, FakeBackend.chunk(""));
              } else {
                Thread.sleep(60_000);
              }
            });
    servers.add(server);
    fleet.control(
        "PUT",
        "/api/runners/" + id,
        """
        {"service":"plain","address":"%s","zone":"here","version":"%s","slots":64,"state":"ready",
         "coldLeftMs":0,"seq":1}
        """
            .formatted(server.address(), version));
  }

  private Socket connectTo(int gateway) throws IOException {
    return FleetProcesses.connect(fleet.gatewayAddresses().get(gateway - 1));
  }

  private static void send(Socket connection, String stream, String id, String headers)
      throws IOException {
    FakeBackend.write(
        connection,
        """
        POST /tags/%s HTTP/1.1\r
        Host: site.example\r
        Attempt-Id: %s\r
        Deadline-Ms: 60000\r
        X-Api-Key: k1\r
        Connection: close\r
        Content-Length: 8\r
        %s\r
        question"""
            .formatted(stream, id, headers));
  }

  private void beginAndCut(int gateway, String stream) throws Exception {
    BoundedWait.until("stream " + stream + " begins", () -> beginsAndIsCut(gateway, stream));
  }

  /** Returns whether the stream began, and not only its request was rejected as not run. */
  private boolean beginsAndIsCut(int gateway, String stream) throws IOException {
    try (Socket connection = connectTo(gateway)) {
      send(connection, stream, "first-" + stream, "");
      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(connection.getInputStream(), StandardCharsets.UTF_8));
      String line = reader.readLine();
      if (line != null && line.contains(" 503 ")) {
        return false;
      }
      while (line != null && !line.contains("token " + EVENTS_BEFORE_CUT)) {
        line = reader.readLine();
      }
      assertThat(line).as("event %d of stream %s", EVENTS_BEFORE_CUT, stream).isNotNull();
      return true;
    }
  }

  private static void sendResumption(Socket connection, String stream) throws IOException {
    String headers =
        "Last-Event-Id: %d\r\nResumes: first-%s\r\n".formatted(EVENTS_BEFORE_CUT, stream);
    send(connection, stream, "next-" + System.nanoTime(), headers);
  }

  private boolean takeUpAgain(String stream) throws IOException {
    try (Socket connection = connectTo(SUSPENDED_GATEWAY)) {
      sendResumption(connection, stream);
      return goesOn(connection);
    }
  }

  private static boolean goesOn(Socket connection) throws IOException {
    return new String(connection.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
        .contains("token " + EVENTS);
  }

  private long streamsOfTwoVersions() {
    return versionsByStream.values().stream().filter(versions -> versions.size() > 1).count();
  }

  @ParameterizedTest
  @ValueSource(longs = {600, 800, 3_000})
  void no_stream_of_a_version_that_joined_meanwhile_goes_on_at_another(long suspendedMillis)
      throws Exception {
    startServer("i-1", "v1");
    beginAndCut(SUSPENDED_GATEWAY, "warm-up");
    List<Socket> connections = new ArrayList<>();
    for (int stream = 0; stream < STREAMS; stream++) {
      connections.add(connectTo(SUSPENDED_GATEWAY));
    }

    fleet.suspendGateway(SUSPENDED_GATEWAY);
    long suspendedAtMillis = System.nanoTime() / 1_000_000;
    startServer("i-2", "v2");
    for (int stream = 0; stream < STREAMS; stream++) {
      beginAndCut(SUSPENDED_GATEWAY + 1, Integer.toString(stream));
    }
    for (int stream = 0; stream < STREAMS; stream++) {
      sendResumption(connections.get(stream), Integer.toString(stream));
    }
    long elapsedMillis = System.nanoTime() / 1_000_000 - suspendedAtMillis;
    Thread.sleep(Math.max(0, suspendedMillis - elapsedMillis));
    fleet.resumeGateway(SUSPENDED_GATEWAY);

    for (int stream = 0; stream < STREAMS; stream++) {
      String name = Integer.toString(stream);
      boolean wentOn = goesOn(connections.get(stream));
      connections.get(stream).close();
      if (!wentOn) {
        BoundedWait.until("stream " + name + " goes on", () -> takeUpAgain(name));
      }
    }
    assertThat(streamsOfTwoVersions()).isZero();
    assertThat(versionsByStream.values()).contains(Set.of("v1"), Set.of("v2"));
  }
}
