package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against large bodies of many callers that fill the heap of a gateway. */
@Timeout(180)
class LargeBodiesTest {
  private static final int BODY_BYTES = 4_000_000;
  private static final int PIECE_BYTES = 100_000;
  private static final int SHORT_CALLERS = 12;
  private static final int SHORT_TIMEOUT_MILLIS = 2_000;

  /** Time after its timeout at which a request has an answer at the latest. */
  private static final int ANSWER_MARGIN_MILLIS = 500;

  private static final int LARGE_TIMEOUT_MILLIS = 20_000;
  private static final int LARGE_IN_PROGRESS = 8;
  private static final long SERVER_WAIT_MILLIS = 3_000;
  private static final int READ_PAUSE_MILLIS = 50;
  private static final long JOIN_MILLIS = 60_000;

  private static final String CATALOG =
      """
      {"version":1,"routes":[
        {"name":"reads","host":"site.example","pathPrefix":"/reads/","kind":"idempotent",
         "timeoutMs":%1$d,"targetLatencyMs":400,"priority":1,"service":"plain","attempts":2},
        {"name":"holds","host":"site.example","pathPrefix":"/holds/","kind":"non_idempotent",
         "timeoutMs":%2$d,"targetLatencyMs":4000,"priority":1,"service":"plain","attempts":1},
        {"name":"orders","host":"site.example","pathPrefix":"/orders/","kind":"non_idempotent",
         "timeoutMs":%2$d,"targetLatencyMs":4000,"priority":1,"service":"plain","attempts":1}],
       "services":[{"name":"plain","healthPath":"/health","maxConns":100}],
       "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
         "idleTimeoutMs":15000},
       "tenants":[{"name":"t1","apiKeys":["k1"]}]}
      """
          .formatted(SHORT_TIMEOUT_MILLIS, LARGE_TIMEOUT_MILLIS);

  private final Set<String> run = ConcurrentHashMap.newKeySet();
  private final AtomicInteger largeRunning = new AtomicInteger();
  private final AtomicInteger mostLargeRunning = new AtomicInteger();
  private final AtomicInteger shortAnswered = new AtomicInteger();
  private final Map<String, Integer> largeStatuses = new ConcurrentHashMap<>();
  private final Queue<String> failures = new ConcurrentLinkedQueue<>();
  private volatile boolean ended;

  @TempDir Path folder;

  private void serve(FakeBackend.ReceivedRequest request, Socket connection) throws Exception {
    run.add(request.header("Attempt-Id"));
    if (request.line().contains("/orders/")) {
      mostLargeRunning.accumulateAndGet(largeRunning.incrementAndGet(), Math::max);
      long endNanos = System.nanoTime() + SERVER_WAIT_MILLIS * 1_000_000;
      while (mostLargeRunning.get() < LARGE_IN_PROGRESS && System.nanoTime() < endNanos) {
        Thread.sleep(10);
      }
      largeRunning.decrementAndGet();
    }
    FakeBackend.write(connection, FakeBackend.response(request, 200, responseBody(request)));
  }

  private static String responseBody(FakeBackend.ReceivedRequest request) {
    boolean largeResponse = request.line().contains("/holds/");
    return largeResponse ? "x".repeat(BODY_BYTES) : "" + request.body().length();
  }

  private static String head(String method, String path, String id, int deadlineMillis, int bytes) {
    return """
        %s %s HTTP/1.1\r
        Host: site.example\r
        Attempt-Id: %s\r
        Deadline-Ms: %d\r
        X-Api-Key: k1\r
        Content-Length: %d\r
        \r
        """
        .formatted(method, path, id, deadlineMillis, bytes);
  }

  private static String readResponse(InputStream in) throws IOException {
    String statusLine = RawHttp.readLine(in);
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    RawHttp.readBody(in, RawHttp.readHeaders(in), body);
    return statusLine + "\n" + body.toString(StandardCharsets.UTF_8);
  }

  private void sendShort(String address, int caller) {
    for (int number = 0; !ended; number++) {
      try (Socket socket = FleetProcesses.connect(address)) {
        socket.setSoTimeout(SHORT_TIMEOUT_MILLIS + ANSWER_MARGIN_MILLIS);
        for (; !ended; number++) {
          String id = "s-" + caller + "-" + number;
          FakeBackend.write(socket, head("GET", "/reads/" + id, id, SHORT_TIMEOUT_MILLIS, 0));
          readResponse(socket.getInputStream());
          shortAnswered.incrementAndGet();
          Thread.sleep(50);
        }
      } catch (IOException e) {
        failures.add("short request " + caller + "-" + number + ": " + e);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void sendLarge(String address, String id, int pauseMillis) {
    try (Socket socket = FleetProcesses.connect(address)) {
      socket.setSoTimeout(LARGE_TIMEOUT_MILLIS + ANSWER_MARGIN_MILLIS);
      OutputStream out = socket.getOutputStream();
      FakeBackend.write(
          socket, head("POST", "/orders/" + id, id, LARGE_TIMEOUT_MILLIS, BODY_BYTES));
      byte[] piece = "x".repeat(PIECE_BYTES).getBytes(StandardCharsets.US_ASCII);
      for (int sent = 0; sent < BODY_BYTES; sent += piece.length) {
        out.write(piece);
        Thread.sleep(pauseMillis);
      }
      String response = readResponse(socket.getInputStream());
      int status = RoutedFleetFixture.status(response);
      largeStatuses.put(id, status);
      if (status == 200 && !response.endsWith("\n" + BODY_BYTES)) {
        failures.add("large request " + id + ": the server received another body: " + response);
      } else if (status == 503 && run.contains(id)) {
        failures.add("large request " + id + ": was run and is told that it was not");
      } else if (status != 200 && status != 503) {
        failures.add("large request " + id + ": " + response);
      }
    } catch (IOException | InterruptedException e) {
      failures.add("large request " + id + ": " + e);
    }
  }

  /** Reads a large response slowly; it is whole, or its status tells that there is none. */
  private void readSlowly(String address, String id) {
    try (Socket socket = FleetProcesses.connect(address)) {
      socket.setSoTimeout(LARGE_TIMEOUT_MILLIS + ANSWER_MARGIN_MILLIS);
      FakeBackend.write(socket, head("POST", "/holds/" + id, id, LARGE_TIMEOUT_MILLIS, 0));
      InputStream in = socket.getInputStream();
      int status = RoutedFleetFixture.status(RawHttp.readLine(in));
      int length = Integer.parseInt(RawHttp.readHeaders(in).getOrDefault("content-length", ""));
      int received = 0;
      while (received < length) {
        int count = in.readNBytes(Math.min(PIECE_BYTES, length - received)).length;
        if (count == 0) {
          break;
        }
        received += count;
        Thread.sleep(READ_PAUSE_MILLIS);
      }
      largeStatuses.put(id, status);
      if (received != length || (status == 200 && length != BODY_BYTES)) {
        failures.add("response " + id + ": " + received + " of " + length + " bytes");
      } else if (status == 503 && run.contains(id)) {
        failures.add("response " + id + ": its request was run and is told that it was not");
      }
    } catch (IOException | InterruptedException | NumberFormatException e) {
      failures.add("response " + id + ": " + e);
    }
  }

  @ParameterizedTest
  @CsvSource({"20, 0, 0", "64, 0, 0", "64, 100, 0", "20, 0, 30"})
  void large_bodies_of_many_callers_leave_no_request_without_an_answer(
      int callers, int pauseMillis, int slowReaders) throws Exception {
    FleetProcesses.Shape shape = new FleetProcesses.Shape(1, 100, List.of("here"), false);
    try (FleetProcesses fleet = new FleetProcesses(folder, shape);
        FakeBackend backend = new FakeBackend(this::serve)) {
      fleet.control("PUT", "/api/config", CATALOG);
      fleet.awaitGateways();
      fleet.registerPlainServer(1, backend);
      String address = fleet.gatewayAddresses().getFirst();
      List<Thread> shortCallers = new ArrayList<>();
      for (int caller = 0; caller < SHORT_CALLERS; caller++) {
        int number = caller;
        shortCallers.add(Thread.ofPlatform().start(() -> sendShort(address, number)));
      }
      Thread.sleep(2_000);
      List<Thread> largeCallers = new ArrayList<>();
      for (int caller = 0; caller < callers; caller++) {
        String id = "l-" + caller;
        largeCallers.add(Thread.ofPlatform().start(() -> sendLarge(address, id, pauseMillis)));
      }
      for (int reader = 0; reader < slowReaders; reader++) {
        String id = "r-" + reader;
        largeCallers.add(Thread.ofPlatform().start(() -> readSlowly(address, id)));
      }
      for (Thread caller : largeCallers) {
        caller.join(JOIN_MILLIS);
      }
      ended = true;
      for (Thread caller : shortCallers) {
        caller.join(JOIN_MILLIS);
      }

      assertThat(fleet.isGatewayRunning(1)).isTrue();
      assertThat(failures).isEmpty();
      assertThat(largeStatuses).hasSize(callers + slowReaders);
      assertThat(largeStatuses.values()).contains(200);
      assertThat(shortAnswered.get()).isPositive();
      assertThat(mostLargeRunning.get()).isGreaterThanOrEqualTo(LARGE_IN_PROGRESS);
    }
  }
}
