package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against servers that are given more time than a caller has left, when a gateway stood
 * still before it read the request or between two attempts.
 */
@Timeout(120)
class RemainingTimeTest {
  private static final int SERVERS = 3;
  private static final int ROUNDS = 6;
  private static final int REQUESTS_IN_ROUND = 12;
  private static final long DEADLINE_MILLIS = 2_600;

  /** By how much the rules let a server's time exceed what a caller has left. */
  private static final long ALLOWED_EXCESS_MILLIS = 500;

  /** Shorter than the time after which the first attempt is abandoned. */
  private static final long ATTEMPT_MILLIS = 300;

  private static final long SUSPENDED_MILLIS = 1_200;
  private static final int SUSPENDED_GATEWAY = 1;

  @TempDir private Path folder;

  private record Arrival(long atMillis, long deadlineMillis) {}

  private final List<FakeBackend> servers = new ArrayList<>();
  private final Map<String, Long> sentAtMillis = new ConcurrentHashMap<>();
  private final Map<String, List<Arrival>> arrivals = new ConcurrentHashMap<>();
  private FleetProcesses fleet;

  @BeforeEach
  void startFleet() throws Exception {
    fleet = new FleetProcesses(folder);
    fleet.control("PUT", "/api/config", RoutedFleetFixture.CATALOG.formatted(1));
    fleet.awaitGateways();
    for (int number = 1; number <= SERVERS; number++) {
      FakeBackend server = new FakeBackend(this::answerOnlyRepeats);
      servers.add(server);
      fleet.registerPlainServer(number, server);
    }
  }

  @AfterEach
  void stop() throws Exception {
    fleet.close();
    for (FakeBackend server : servers) {
      server.close();
    }
  }

  private void answerOnlyRepeats(FakeBackend.ReceivedRequest request, Socket connection)
      throws Exception {
    String deadline = request.header("Deadline-Ms");
    List<Arrival> ofRequest =
        arrivals.computeIfAbsent(request.header("Attempt-Id"), id -> new CopyOnWriteArrayList<>());
    ofRequest.add(
        new Arrival(
            nowMillis(), deadline.isEmpty() ? Long.MAX_VALUE / 4 : Long.parseLong(deadline)));
    if (ofRequest.size() > 1) {
      FakeBackend.write(connection, FakeBackend.response(request, 200, "answer"));
    } else {
      Thread.sleep(DEADLINE_MILLIS);
    }
  }

  private static long nowMillis() {
    return System.nanoTime() / 1_000_000;
  }

  /** Sends requests whose connections are open already. */
  private void send(int round) throws IOException {
    for (int number = 0; number < REQUESTS_IN_ROUND; number++) {
      String id = "request-" + round + "-" + number;
      Socket connection =
          FleetProcesses.connect(fleet.gatewayAddresses().get(SUSPENDED_GATEWAY - 1));
      sentAtMillis.put(id, nowMillis());
      FakeBackend.write(
          connection,
          """
          GET /quick/1 HTTP/1.1\r
          Host: site.example\r
          Attempt-Id: %s\r
          Deadline-Ms: %d\r
          X-Api-Key: k1\r
          Connection: close\r
          \r
          """
              .formatted(id, DEADLINE_MILLIS));
      Thread.ofVirtual().start(() -> readAll(connection));
    }
  }

  private static void readAll(Socket connection) {
    try (connection) {
      connection.getInputStream().readAllBytes();
    } catch (IOException e) {
      // Only what arrives at the servers counts.
    }
  }

  /** Returns the arrivals that were given more time than the rules allow. */
  private List<String> excesses() {
    List<String> excesses = new ArrayList<>();
    arrivals.forEach(
        (id, ofRequest) -> {
          Arrival first = ofRequest.getFirst();
          long endMillis =
              Math.max(
                  first.atMillis() + first.deadlineMillis(),
                  Objects.requireNonNull(sentAtMillis.get(id)) + DEADLINE_MILLIS);
          for (Arrival arrival : ofRequest) {
            boolean longer = arrival.deadlineMillis() > DEADLINE_MILLIS + ALLOWED_EXCESS_MILLIS;
            boolean later =
                arrival.atMillis() + arrival.deadlineMillis() > endMillis + ALLOWED_EXCESS_MILLIS;
            if (longer || later) {
              excesses.add(id + ": " + ofRequest);
            }
          }
        });
    return excesses;
  }

  @Test
  void servers_are_given_the_time_that_is_left_after_a_gateway_stood_still() throws Exception {
    for (int round = 0; round < ROUNDS; round++) {
      boolean beforeReading = round % 2 == 0;
      if (beforeReading) {
        fleet.suspendGateway(SUSPENDED_GATEWAY);
        send(round);
      } else {
        send(round);
        Thread.sleep(ATTEMPT_MILLIS);
        fleet.suspendGateway(SUSPENDED_GATEWAY);
      }
      Thread.sleep(SUSPENDED_MILLIS);
      fleet.resumeGateway(SUSPENDED_GATEWAY);
      Thread.sleep(DEADLINE_MILLIS);
    }

    assertThat(excesses()).as("arrivals with more time than is left").isEmpty();
    assertThat(arrivals.values())
        .as("requests that were sent again")
        .filteredOn(ofRequest -> ofRequest.size() > 1)
        .hasSizeGreaterThan(REQUESTS_IN_ROUND);
  }
}
