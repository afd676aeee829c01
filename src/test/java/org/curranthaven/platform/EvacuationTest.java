package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Runs servers in two data centres and counts what arrives at the evacuated one. Guards against
 * requests of any kind that reach it after the order was acknowledged, and against orders that are
 * not acknowledged.
 */
@Timeout(120)
class EvacuationTest extends RoutedFleetFixture {
  private static final String MODEL_HEADERS = "Model: m\r\nToken-Count: 1000,4000\r\n";
  private static final int CLIENTS = 4;

  /** Time for which clients send requests under an order. */
  private static final long LOAD_MILLIS = 1_500;

  private static final long ARRIVAL_MILLIS = 200;

  private final List<FakeBackend> servers = new ArrayList<>();

  @AfterEach
  void closeServers() throws IOException {
    for (FakeBackend server : servers) {
      server.close();
    }
  }

  private FakeBackend start(String dataCentre, String service, FakeBackend.ResponseScript script)
      throws Exception {
    FakeBackend server = new FakeBackend(script);
    servers.add(server);
    registerIn(dataCentre, "i-" + servers.size(), server, "ready", 1, service, "v1");
    return server;
  }

  /** Starts a server that responds after a short time, with a failure if the path asks for it. */
  private FakeBackend startPlain(String dataCentre) throws Exception {
    return start(
        dataCentre,
        "plain",
        (request, connection) -> {
          Thread.sleep(10);
          int status = request.line().contains("failing") ? 500 : 200;
          FakeBackend.write(connection, FakeBackend.response(request, status, "page"));
        });
  }

  private HttpResponse<String> evacuate(String dataCentre) throws Exception {
    return sendControlRequest("POST", "/api/evacuate/" + dataCentre, "");
  }

  private HttpResponse<String> endEvacuation(String dataCentre) throws Exception {
    return sendControlRequest("DELETE", "/api/evacuate/" + dataCentre, "");
  }

  /** Sends requests from several clients to the gateways for some time; returns the responses. */
  private List<String> sendRequests(List<String> gateways, long durationMillis) throws Exception {
    List<Future<List<String>>> clients = new ArrayList<>();
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      for (int client = 0; client < CLIENTS; client++) {
        String gateway = gateways.get(client % gateways.size());
        clients.add(executor.submit(() -> sendFor(gateway, durationMillis)));
      }
    }
    List<String> responses = new ArrayList<>();
    for (Future<List<String>> client : clients) {
      responses.addAll(client.get());
    }
    return responses;
  }

  private List<String> sendFor(String gateway, long durationMillis) throws Exception {
    List<String> responses = new ArrayList<>();
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMillis);
    for (int i = 0; System.nanoTime() < endNanos; i++) {
      String path = i % 3 == 0 ? "/holds/" : i % 3 == 1 ? "/pages/" : "/pages/failing";
      responses.add(sendRawRequest(gateway, path + i, ""));
    }
    return responses;
  }

  @Test
  void no_request_arrives_at_an_evacuated_data_centre_until_the_order_is_withdrawn()
      throws Exception {
    FakeBackend east = startPlain("east");
    FakeBackend west = startPlain("west");
    List<String> gateways = List.of(callerAddress, startGateway(2));
    sendRequests(gateways, 500);
    assertThat(east.received()).isNotEmpty();

    assertThat(evacuate("east").statusCode()).isEqualTo(200);
    int arrivedBefore = east.received().size();
    int westBefore = west.received().size();
    sendRequests(gateways, LOAD_MILLIS);
    assertThat(east.received()).hasSize(arrivedBefore);
    assertThat(west.received()).hasSizeGreaterThan(westBefore);

    assertThat(endEvacuation("east").statusCode()).isEqualTo(200);
    sendRequests(gateways, LOAD_MILLIS);
    assertThat(east.received()).hasSizeGreaterThan(arrivedBefore);
  }

  /** Guards against requests that are queued or placed when the order comes, and sent later. */
  @Test
  void no_request_arrives_after_an_order_that_is_given_under_load() throws Exception {
    FakeBackend east = startPlain("east");
    startPlain("west");
    List<String> gateways = List.of(callerAddress, startGateway(2));
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      Future<List<String>> load = executor.submit(() -> sendRequests(gateways, 2 * LOAD_MILLIS));
      Thread.sleep(LOAD_MILLIS / 2);

      assertThat(evacuate("east").statusCode()).isEqualTo(200);
      // Time for what was sent before to be read by the server.
      Thread.sleep(ARRIVAL_MILLIS);
      int arrivedBefore = east.received().size();

      assertThat(load.get()).filteredOn(response -> status(response) == 503).isEmpty();
      assertThat(arrivedBefore).isPositive();
      assertThat(east.received()).hasSize(arrivedBefore);
    }
  }

  @Test
  void a_gateway_that_starts_while_an_order_is_in_force_sends_nothing_there() throws Exception {
    FakeBackend east = startPlain("east");
    startPlain("west");
    assertThat(evacuate("east").statusCode()).isEqualTo(200);

    String gateway = startGateway(2);
    List<String> responses = sendRequests(List.of(gateway), LOAD_MILLIS);

    assertThat(east.received()).isEmpty();
    assertThat(responses).anyMatch(response -> status(response) == 200);
    assertThat(gateway().dump().get().evacuatedDataCentres()).containsExactly("east");
  }

  @Test
  void an_order_and_a_withdrawal_that_are_sent_twice_are_acknowledged_twice() throws Exception {
    startPlain("east");
    startPlain("west");

    assertThat(evacuate("east").statusCode()).isEqualTo(200);
    assertThat(evacuate("east").statusCode()).isEqualTo(200);
    assertThat(endEvacuation("east").statusCode()).isEqualTo(200);
    assertThat(endEvacuation("east").statusCode()).isEqualTo(200);
    assertThat(gateway().dump().get().evacuationRevision()).isEqualTo(4);
  }

  @Test
  void an_unknown_data_centre_is_rejected_with_the_names_of_the_known_ones() throws Exception {
    startPlain("east");
    startPlain("west");

    HttpResponse<String> response = evacuate("no%20such");

    assertThat(response.statusCode()).isEqualTo(422);
    assertThat(response.body()).contains("no such").contains("east, west");
    assertThat(endEvacuation("no%20such").statusCode()).isEqualTo(422);
  }

  @Test
  void an_order_is_accepted_while_no_data_centre_is_known_and_holds_for_later_servers()
      throws Exception {
    assertThat(evacuate("east").statusCode()).isEqualTo(200);

    FakeBackend east = startPlain("east");
    startPlain("west");
    sendRequests(List.of(callerAddress), 500);

    assertThat(east.received()).isEmpty();
  }

  @Test
  void requests_that_only_the_evacuated_data_centre_could_serve_are_rejected_before_they_run()
      throws Exception {
    FakeBackend east = startPlain("east");
    assertThat(evacuate("east").statusCode()).isEqualTo(200);

    String response = sendRawRequest("/holds/1", "");

    assertThat(status(response)).isEqualTo(503);
    assertThat(response).containsIgnoringCase("Retry-After");
    assertThat(east.received()).isEmpty();
  }

  @Test
  void a_stream_that_its_caller_takes_up_continues_in_another_data_centre() throws Exception {
    FakeBackend.ResponseScript script =
        (request, connection) -> {
          boolean resumed = !request.header("Last-Event-Id").isEmpty();
          String events =
              resumed ? FakeBackend.event(3) : FakeBackend.event(1) + FakeBackend.event(2);
          FakeBackend.write(connection, FakeBackend.streamResponseHead(request) + events);
          if (resumed) {
            FakeBackend.write(connection, FakeBackend.chunk(""));
          } else {
            Thread.sleep(5_000);
          }
        };
    FakeBackend east = start("east", "plain", script);
    try (Socket caller = openRawRequest(callerAddress, "stream-1", "/tags/1", "")) {
      assertThat(readUntil(caller, "token 2")).contains("token 2");
      start("west", "plain", script);
      assertThat(evacuate("east").statusCode()).isEqualTo(200);
    }

    String response = sendRawRequest("/tags/1", "Last-Event-Id: 2\r\nResumes: stream-1\r\n");

    assertThat(response).contains("token 3");
    assertThat(east.received()).hasSize(1);
  }

  /** Reads a response until it holds a text or ends. */
  private static String readUntil(Socket caller, String text) throws IOException {
    StringBuilder read = new StringBuilder();
    int octet = caller.getInputStream().read();
    while (octet >= 0) {
      read.append((char) octet);
      if (read.indexOf(text) >= 0) {
        return read.toString();
      }
      octet = caller.getInputStream().read();
    }
    return read.toString();
  }

  @Test
  void a_running_stream_of_the_evacuated_data_centre_continues_to_its_end() throws Exception {
    CountDownLatch ordered = new CountDownLatch(1);
    FakeBackend east =
        start(
            "east",
            "plain",
            (request, connection) -> {
              FakeBackend.write(
                  connection, FakeBackend.streamResponseHead(request) + FakeBackend.event(1));
              ordered.await();
              FakeBackend.write(connection, FakeBackend.event(2) + FakeBackend.chunk(""));
            });
    try (Socket caller = openRawRequest("/drafts/1", "")) {
      assertThat(readUntil(caller, "token 1")).contains("token 1");

      assertThat(evacuate("east").statusCode()).isEqualTo(200);
      ordered.countDown();

      String rest = new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertThat(rest).contains("token 2").endsWith("0\r\n\r\n");
    }
    assertThat(east.received()).hasSize(1);
  }

  @Test
  void a_stream_whose_backup_copy_is_in_the_evacuated_data_centre_is_not_resumed_there()
      throws Exception {
    CountDownLatch ordered = new CountDownLatch(1);
    AtomicReference<FakeBackend> running = new AtomicReference<>();
    FakeBackend.ResponseScript script =
        (request, connection) -> {
          FakeBackend.write(
              connection, FakeBackend.streamResponseHead(request) + FakeBackend.event(1));
          ordered.await();
          Objects.requireNonNull(running.get()).close();
        };
    FakeBackend first = start("east", "engines", script);
    FakeBackend second = start("west", "engines", script);
    try (Socket caller = openRawRequest("/stories/1", MODEL_HEADERS)) {
      assertThat(readUntil(caller, "token 1")).contains("token 1");
      boolean runsInEast = !first.received().isEmpty();
      running.set(runsInEast ? first : second);
      FakeBackend backupEngine = runsInEast ? second : first;
      assertThat(Objects.requireNonNull(running.get()).received().getFirst().header("Kv-Backup"))
          .isEqualTo(backupEngine.address());

      assertThat(evacuate(runsInEast ? "west" : "east").statusCode()).isEqualTo(200);
      ordered.countDown();

      String rest = new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertThat(rest).doesNotEndWith("0\r\n\r\n");
      assertThat(backupEngine.received()).isEmpty();
    }
  }

  /**
   * The order comes when the engine that the stream leaves has stopped it, before the other engine
   * resumes it. The engine that stopped it still holds its state.
   */
  @Test
  void a_stream_that_was_stopped_for_its_migration_continues_at_its_source() throws Exception {
    CountDownLatch stopping = new CountDownLatch(1);
    CountDownLatch ordered = new CountDownLatch(1);
    AtomicReference<Socket> streamConnection = new AtomicReference<>();
    FakeBackend source =
        start(
            "west",
            "engines",
            (request, connection) -> {
              if (request.line().contains("kv-move")) {
                if (request.body().contains("\"last\":true")) {
                  stopping.countDown();
                  ordered.await();
                  Objects.requireNonNull(streamConnection.get()).close();
                }
                String body = "{\"handle\":\"h7\",\"made\":1}";
                FakeBackend.write(
                    connection,
                    "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
                return;
              }
              boolean resumed = !request.header("Kv-From").isEmpty();
              FakeBackend.write(connection, FakeBackend.streamResponseHead(request));
              FakeBackend.write(connection, FakeBackend.event(resumed ? 2 : 1));
              if (resumed) {
                FakeBackend.write(connection, FakeBackend.chunk(""));
              } else {
                streamConnection.set(connection);
              }
            });
    try (Socket caller = openRawRequest("/stories/1", MODEL_HEADERS)) {
      assertThat(readUntil(caller, "token 1")).contains("token 1");
      FakeBackend target = start("east", "engines", (request, connection) -> connection.close());
      registerIn("west", "i-1", source, "draining", 2, "engines", "v1");
      assertThat(stopping.await(20, TimeUnit.SECONDS)).isTrue();

      assertThat(evacuate("east").statusCode()).isEqualTo(200);
      ordered.countDown();

      String rest = new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertThat(rest).contains("token 2").endsWith("0\r\n\r\n");
      assertThat(target.received()).isEmpty();
    }
  }

  /**
   * The order comes while the state of a stream is copied to an engine of the data centre; the
   * engine that it leaves still runs it.
   */
  @Test
  void a_migration_that_began_before_the_order_ends_where_the_stream_runs() throws Exception {
    CountDownLatch copying = new CountDownLatch(1);
    CountDownLatch ordered = new CountDownLatch(1);
    AtomicReference<Socket> streamConnection = new AtomicReference<>();
    List<String> copies = new ArrayList<>();
    FakeBackend source =
        start(
            "west",
            "engines",
            (request, connection) -> {
              if (request.line().contains("kv-move")) {
                copies.add(request.body());
                copying.countDown();
                ordered.await();
                String body = "{\"handle\":\"h7\",\"made\":1}";
                FakeBackend.write(
                    connection,
                    "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
              } else {
                streamConnection.set(connection);
                FakeBackend.write(
                    connection, FakeBackend.streamResponseHead(request) + FakeBackend.event(1));
              }
            });
    try (Socket caller = openRawRequest("/stories/1", MODEL_HEADERS)) {
      assertThat(readUntil(caller, "token 1")).contains("token 1");
      FakeBackend target = start("east", "engines", (request, connection) -> connection.close());
      registerIn("west", "i-1", source, "draining", 2, "engines", "v1");
      assertThat(copying.await(20, TimeUnit.SECONDS)).isTrue();

      assertThat(evacuate("east").statusCode()).isEqualTo(200);
      ordered.countDown();
      Thread.sleep(500);
      FakeBackend.write(
          Objects.requireNonNull(streamConnection.get()),
          FakeBackend.event(2) + FakeBackend.chunk(""));

      String rest = new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertThat(rest).contains("token 2").endsWith("0\r\n\r\n");
      assertThat(target.received()).isEmpty();
      assertThat(copies).noneMatch(body -> body.contains("\"last\":true"));
    }
  }
}
