package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Statuses that promise that a request did not run, while messages are held up on their way. */
class RefusedRequestsTest extends RoutedFleetFixture {
  private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);
  private static final int CALLERS = 40;
  private static final int REQUESTS_PER_CALLER = 10;
  private static final int MAX_PAUSE_MILLIS = 200;

  /** Longer than a gateway waits for an acknowledgement of a placement request. */
  private static final long DELAY_MILLIS = 220;

  private static final long RUN_MILLIS = 300;

  private final Map<String, AtomicInteger> runsById = new ConcurrentHashMap<>();
  private @Nullable DelayedConnections connections;

  @Override
  String contactOfGateways(String controlHostAddress) throws Exception {
    DelayedConnections opened = new DelayedConnections(controlHostAddress);
    connections = opened;
    return opened.address();
  }

  /**
   * Precedes the name of the control host, so that the connection dialled by the gateway is kept.
   */
  @Override
  String gatewayName(int number) {
    return "a-gateway-" + number;
  }

  private DelayedConnections delayedConnections() {
    return Objects.requireNonNull(connections);
  }

  @AfterEach
  void closeConnections() throws Exception {
    if (connections != null) {
      connections.close();
    }
  }

  private void run(FakeBackend.ReceivedRequest request, Socket connection) throws Exception {
    runsById
        .computeIfAbsent(request.header("Attempt-Id"), id -> new AtomicInteger())
        .incrementAndGet();
    Thread.sleep(RUN_MILLIS);
    FakeBackend.write(connection, FakeBackend.response(request, 200, "done"));
  }

  private List<String> sendRequests(int caller, Map<String, Integer> statuses) throws Exception {
    Random random = new Random(caller);
    List<String> ids = new ArrayList<>();
    for (int number = 0; number < REQUESTS_PER_CALLER; number++) {
      String id = "caller-" + caller + "-" + number;
      ids.add(id);
      Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
      String path = caller % 3 == 0 ? "/holds/1" : "/orders/1";
      try (Socket socket = openRawRequest(callerAddress, id, path, "")) {
        byte[] response = socket.getInputStream().readAllBytes();
        statuses.put(id, status(new String(response, StandardCharsets.UTF_8)));
      }
    }
    return ids;
  }

  @Test
  void no_request_that_ran_is_answered_as_not_run_while_placement_requests_are_held_up()
      throws Exception {
    putCatalog(
        CATALOG
            .formatted(2)
            .replace(
                "{\"name\":\"quick\"",
                "{\"name\":\"orders\",\"host\":\"site.example\",\"pathPrefix\":\"/orders/\","
                    + "\"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":400,"
                    + "\"priority\":0,\"service\":\"plain\",\"attempts\":1},\n"
                    + "{\"name\":\"quick\""));
    Map<String, Integer> statuses = new ConcurrentHashMap<>();
    try (FakeBackend backend = new FakeBackend(this::run);
        ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      register("r1", backend, "ready", 1);
      delayedConnections().holdUp(DELAY_MILLIS);
      List<Future<List<String>>> callers = new ArrayList<>();
      for (int caller = 0; caller < CALLERS; caller++) {
        int number = caller;
        callers.add(executor.submit(() -> sendRequests(number, statuses)));
      }
      for (Future<List<String>> caller : callers) {
        caller.get();
      }
    }

    assertThat(delayedConnections().hasHeldUp()).isTrue();
    assertThat(statuses).hasSize(CALLERS * REQUESTS_PER_CALLER).containsValue(200);
    assertThat(statuses.entrySet())
        .filteredOn(entry -> NOT_RUN.contains(entry.getValue()))
        .extracting(Map.Entry::getKey)
        .doesNotContainAnyElementsOf(runsById.keySet());
    assertThat(runsById.values()).allMatch(runs -> runs.get() == 1);
  }
}
