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
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Cuts a gateway off from the control host while servers of a new software version join. Guards
 * against streams that began on these servers through another gateway, are taken up at the cut-off
 * one and go on at a server of another version.
 */
@Timeout(120)
class CutOffGatewayTest extends RoutedFleetFixture {
  private static final int EVENTS_BEFORE_CUT = 3;
  private static final int EVENTS = 6;
  private static final int STREAMS = 12;

  /** Longer than a gateway takes to notice that it has lost its scheduler. */
  private static final long LOSS_NOTICED_MILLIS = 500;

  private final Map<String, Set<String>> versionsByStream = new ConcurrentHashMap<>();
  private final List<FakeBackend> servers = new ArrayList<>();
  private String cutOffGateway = "";

  @BeforeEach
  void startCutOffGateway() throws Exception {
    cutOffGateway = startGateway(2);
  }

  @AfterEach
  void close() throws IOException {
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
    register(id, server, "ready", 1, "plain", version);
  }

  private void beginAndCut(String gateway, String id, String path) throws Exception {
    try (Socket socket = openRawRequest(gateway, id, path, "")) {
      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
      String line = reader.readLine();
      while (line != null && !line.contains("token " + EVENTS_BEFORE_CUT)) {
        line = reader.readLine();
      }
    }
  }

  private long streamsOfTwoVersions() {
    return versionsByStream.values().stream().filter(versions -> versions.size() > 1).count();
  }

  /** Takes a stream up at the gateway that was cut off; returns whether it went on to its end. */
  private boolean takeUp(int stream) throws Exception {
    String headers =
        "Last-Event-Id: %d\r\nResumes: first-%d\r\n".formatted(EVENTS_BEFORE_CUT, stream);
    return sendRawRequest(cutOffGateway, "/tags/" + stream, headers).contains("token " + EVENTS);
  }

  @Test
  void no_stream_of_a_version_that_a_cut_off_gateway_does_not_know_goes_on_at_another()
      throws Exception {
    startServer("i-1", "v1");
    // The gateway has learnt of the server once a request through it has succeeded.
    beginAndCut(cutOffGateway, "warm-up", "/tags/warm-up");

    gateway().setBlockedHosts(List.of("control-1"));
    long cutAtMillis = System.nanoTime() / 1_000_000;
    startServer("i-2", "v2");
    for (int stream = 0; stream < STREAMS; stream++) {
      beginAndCut(callerAddress, "first-" + stream, "/tags/" + stream);
    }
    long elapsedMillis = System.nanoTime() / 1_000_000 - cutAtMillis;
    Thread.sleep(Math.max(0, LOSS_NOTICED_MILLIS - elapsedMillis));
    for (int stream = 0; stream < STREAMS; stream++) {
      takeUp(stream);
    }
    assertThat(streamsOfTwoVersions()).isZero();

    gateway().setBlockedHosts(List.of());
    for (int i = 0; i < STREAMS; i++) {
      int stream = i;
      BoundedWait.until("stream " + stream + " goes on", () -> takeUp(stream));
    }
    assertThat(streamsOfTwoVersions()).isZero();
    assertThat(versionsByStream.values()).contains(Set.of("v1"), Set.of("v2"));
  }
}
