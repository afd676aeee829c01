package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against an order that a control host reads after later orders were acknowledged. */
@Timeout(180)
class LateEvacuationOrderTest {
  private static final int REQUESTS_PER_GATEWAY = 20;
  private static final int RESPONSE_TIMEOUT_MILLIS = 20_000;

  @TempDir private Path folder;

  private static FakeBackend startServer() throws Exception {
    return new FakeBackend(
        (request, connection) ->
            FakeBackend.write(connection, FakeBackend.response(request, 200, "page")));
  }

  private static void register(
      FleetProcesses fleet, String id, FakeBackend server, String dataCentre) throws Exception {
    fleet.control(
        "PUT",
        "/api/runners/" + id,
        """
        {"service":"plain","address":"%s","zone":"%s","version":"v1","slots":64,"state":"ready",
         "coldLeftMs":0,"seq":1}
        """
            .formatted(server.address(), dataCentre));
  }

  private static void sendRequests(FleetProcesses fleet, String idPrefix) throws Exception {
    for (String gateway : fleet.gatewayAddresses()) {
      for (int number = 0; number < REQUESTS_PER_GATEWAY; number++) {
        try (Socket connection = FleetProcesses.connect(gateway)) {
          FakeBackend.write(
              connection,
              """
              GET /pages/%d HTTP/1.1\r
              Host: site.example\r
              Attempt-Id: %s-%s-%d\r
              Deadline-Ms: 60000\r
              X-Api-Key: k1\r
              Connection: close\r
              \r
              """
                  .formatted(number, idPrefix, gateway, number));
          connection.getInputStream().readAllBytes();
        }
      }
    }
  }

  /** Sends an order whose sender will not wait for the response, nor follow it. */
  private static Socket sendOnce(FleetProcesses fleet, int number, String method) throws Exception {
    Socket connection = FleetProcesses.connect(fleet.controlAddress(number));
    connection.setSoTimeout(RESPONSE_TIMEOUT_MILLIS);
    FakeBackend.write(
        connection,
        method + " /api/evacuate/east HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    return connection;
  }

  private static void awaitResponse(Socket connection) throws Exception {
    BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(connection.getInputStream(), StandardCharsets.UTF_8));
    assertThat(reader.readLine()).startsWith("HTTP/1.1");
  }

  @Test
  void a_withdrawal_read_after_a_pause_does_not_end_an_evacuation_acknowledged_meanwhile()
      throws Exception {
    try (FleetProcesses fleet = new FleetProcesses(folder);
        FakeBackend east = startServer();
        FakeBackend west = startServer()) {
      List<String> others = List.of(fleet.controlAddress(2), fleet.controlAddress(3));
      fleet.control("PUT", "/api/config", RoutedFleetFixture.CATALOG.formatted(1));
      fleet.awaitGateways();
      register(fleet, "i-1", east, "east");
      register(fleet, "i-2", west, "west");
      fleet.control("POST", "/api/evacuate/east", "");

      fleet.suspendControl(1);
      try (Socket heldUp = sendOnce(fleet, 1, "DELETE")) {
        fleet.control(others, "DELETE", "/api/evacuate/east", "");
        fleet.control(others, "POST", "/api/evacuate/east", "");
        sendRequests(fleet, "before");
        int arrivedBefore = east.received().size();
        fleet.resumeControl(1);
        awaitResponse(heldUp);
        sendRequests(fleet, "after");

        assertThat(east.received()).hasSize(arrivedBefore);
      }
    }
  }
}
