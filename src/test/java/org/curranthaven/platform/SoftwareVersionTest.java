package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against streams that go on at another software version than the one that began them, and
 * against resumptions that are rejected although their version serves.
 */
@Timeout(120)
class SoftwareVersionTest extends RoutedFleetFixture {
  private static final int GATEWAYS = 3;
  private static final int EVENTS_BEFORE_CUT = 3;
  private static final int EVENTS = 6;

  /** Streams that their servers break off; the fixture's retry budget allows one retry of each. */
  private static final int BROKEN_STREAMS = 8;

  private final List<String> gateways = new ArrayList<>();
  private final List<FakeBackend> servers = new ArrayList<>();

  /** Versions that wrote events, by the stream that they belong to. */
  private final Map<String, Set<String>> versionsByStream = new ConcurrentHashMap<>();

  private int nextStream = 1;

  @BeforeEach
  void startGateways() throws Exception {
    gateways.add(callerAddress);
    for (int number = 2; number <= GATEWAYS; number++) {
      gateways.add(startGateway(number));
    }
  }

  @AfterEach
  void closeServers() throws IOException {
    for (FakeBackend server : servers) {
      server.close();
    }
  }

  /**
   * Starts a server that begins a stream with some events and then sends nothing, or breaks off if
   * its path says so, and that completes a stream which it takes up.
   */
  private FakeBackend startServer(String version) throws Exception {
    FakeBackend server =
        new FakeBackend(
            (request, connection) -> {
              String stream = request.line().split(" ")[1].replaceAll("[^0-9]", "");
              boolean resumed = !request.header("Last-Event-Id").isEmpty();
              int first = resumed ? Integer.parseInt(request.header("Last-Event-Id")) + 1 : 1;
              int last = resumed ? EVENTS : EVENTS_BEFORE_CUT;
              versionsByStream
                  .computeIfAbsent(stream, key -> ConcurrentHashMap.newKeySet())
                  .add(version);
              FakeBackend.write(connection, FakeBackend.streamResponseHead(request));
              for (int event = first; event <= last; event++) {
                FakeBackend.write(connection, FakeBackend.event(event));
              }
              if (resumed) {
                FakeBackend.write(connection, FakeBackend.chunk(""));
              } else if (request.line().contains("broken")) {
                Thread.sleep(20);
                connection.close();
              } else {
                Thread.sleep(5_000);
              }
            });
    servers.add(server);
    register("i-" + servers.size(), server, "ready", 1, "plain", version);
    return server;
  }

  private void startServers(String... versions) throws Exception {
    for (String version : versions) {
      startServer(version);
    }
  }

  /** Begins a stream at a gateway, reads its first events and closes the connection. */
  private void beginAndCut(String gateway, String id, int stream) throws Exception {
    try (Socket socket = openRawRequest(gateway, id, "/tags/" + stream, "")) {
      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
      String line = reader.readLine();
      while (line != null && !line.contains("token " + EVENTS_BEFORE_CUT)) {
        line = reader.readLine();
      }
    }
  }

  private String resume(String gateway, String firstAttempt, int stream) throws Exception {
    String headers =
        "Last-Event-Id: %d\r\nResumes: %s\r\n".formatted(EVENTS_BEFORE_CUT, firstAttempt);
    return sendRawRequest(gateway, "/tags/" + stream, headers);
  }

  private long streamsOfTwoVersions() {
    return versionsByStream.values().stream().filter(versions -> versions.size() > 1).count();
  }

  @Test
  void a_stream_that_its_caller_takes_up_at_another_gateway_stays_at_its_version()
      throws Exception {
    startServers("v1", "v1.1", "v1", "v1.1");
    List<String> responses = new ArrayList<>();

    for (int i = 0; i < 24; i++) {
      String id = "stream-" + nextStream;
      beginAndCut(gateways.get(i % GATEWAYS), id, nextStream);
      Thread.sleep(i % 3 * 20L);
      responses.add(resume(gateways.get((i + 1) % GATEWAYS), id, nextStream));
      nextStream++;
    }

    assertThat(streamsOfTwoVersions()).isZero();
    assertThat(responses).allMatch(response -> response.contains("token " + EVENTS));
  }

  @Test
  void a_stream_that_its_server_broke_off_is_resumed_at_its_version() throws Exception {
    startServers("v1", "v1.1", "v1", "v1.1");
    List<String> responses = new ArrayList<>();

    for (int i = 0; i < BROKEN_STREAMS; i++) {
      responses.add(sendRawRequest(gateways.get(i % GATEWAYS), "/tags/broken" + i, ""));
    }

    assertThat(streamsOfTwoVersions()).isZero();
    assertThat(responses).allMatch(response -> response.contains("token " + EVENTS));
  }

  @Test
  void a_stream_of_which_no_server_of_its_version_is_left_is_broken_off() throws Exception {
    startServers("v1", "v1.1");

    List<String> responses = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      responses.add(sendRawRequest(gateways.get(i % GATEWAYS), "/tags/broken" + i, ""));
    }

    assertThat(streamsOfTwoVersions()).isZero();
    assertThat(responses).noneMatch(response -> response.endsWith("0\r\n\r\n"));
  }

  @Test
  void a_resumption_whose_beginning_nobody_knows_is_rejected_where_versions_differ()
      throws Exception {
    startServers("v1", "v1.1");

    List<String> responses = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      responses.add(resume(gateways.get(i % GATEWAYS), "unknown-" + i, 100 + i));
    }

    assertThat(responses).allMatch(response -> status(response) == 503);
    assertThat(new TreeSet<>(versionsByStream.keySet())).isEmpty();
  }

  @Test
  void a_resumption_whose_beginning_nobody_knows_goes_on_where_all_versions_are_the_same()
      throws Exception {
    startServers("v1", "v1");

    assertThat(resume(gateways.getFirst(), "unknown", 100)).contains("token " + EVENTS);
  }
}
