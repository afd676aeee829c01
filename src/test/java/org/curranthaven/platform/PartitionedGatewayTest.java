package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.curranthaven.internal.relay.Gateway;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against callers who are refused because their gateway is partitioned from all backend
 * servers, while other gateways reach them.
 */
@Timeout(120)
class PartitionedGatewayTest extends RoutedFleetFixture {
  private static final int REQUESTS = 40;
  private static final int EVENTS = 5;

  /** Far below the deadline of a request. */
  private static final long REJECTED_AT_ONCE_MILLIS = 2_000;

  private final Map<String, Integer> runsByPath = new ConcurrentHashMap<>();
  private final List<FakeBackend> servers = new ArrayList<>();
  private final AtomicInteger abandoned = new AtomicInteger();
  private @Nullable Gateway firstGateway;
  private String partitionedGateway = "";

  @BeforeEach
  void startServersAndSecondGateway() throws Exception {
    for (int number = 1; number <= 3; number++) {
      FakeBackend server =
          new FakeBackend(
              (request, connection) -> {
                String path = request.line().split(" ")[1];
                runsByPath.merge(path, 1, Integer::sum);
                if (path.startsWith("/drafts/")) {
                  FakeBackend.write(connection, FakeBackend.streamResponseHead(request));
                  FakeBackend.write(connection, FakeBackend.event(1));
                  connection.close();
                } else if (path.equals("/pages/slow")) {
                  if (connection.getInputStream().read() < 0) {
                    abandoned.incrementAndGet();
                  }
                } else if (path.startsWith("/tags/")) {
                  FakeBackend.write(connection, FakeBackend.streamResponseHead(request));
                  for (int event = 1; event <= EVENTS; event++) {
                    FakeBackend.write(connection, FakeBackend.event(event));
                  }
                  FakeBackend.write(connection, FakeBackend.chunk(""));
                } else {
                  FakeBackend.write(connection, FakeBackend.response(request, 200, "body " + path));
                }
              });
      servers.add(server);
      register("i-" + number, server, "ready", 1);
    }
    firstGateway = gateway();
    partitionedGateway = startGateway(2);
  }

  @AfterEach
  void close() throws IOException {
    for (FakeBackend server : servers) {
      server.close();
    }
  }

  private void assertServedOnce(String prefix) throws Exception {
    for (int number = 0; number < REQUESTS; number++) {
      String path = prefix + number;
      String response = sendRawRequest(partitionedGateway, path, "");
      assertThat(status(response)).as(response).isEqualTo(200);
      assertThat(response)
          .contains(path.startsWith("/tags/") ? "token " + EVENTS : "body " + path)
          .satisfies(text -> assertThat(runsByPath).containsEntry(path, 1));
    }
  }

  @Test
  void requests_at_a_partitioned_gateway_are_served_once_each() throws Exception {
    gateway().setPartitionedFromBackends(true);

    assertServedOnce("/quick/");
    assertServedOnce("/holds/");
    assertServedOnce("/tags/");

    gateway().setPartitionedFromBackends(false);
    assertServedOnce("/quick/after-");
  }

  @Test
  void a_request_is_rejected_at_once_where_no_gateway_reaches_a_backend_server() throws Exception {
    gateway().setPartitionedFromBackends(true);
    Objects.requireNonNull(firstGateway).setPartitionedFromBackends(true);

    for (int number = 0; number < REQUESTS; number++) {
      long startMillis = System.nanoTime() / 1_000_000;
      String response = sendRawRequest(partitionedGateway, "/holds/" + number, "");

      assertThat(status(response)).as(response).isEqualTo(503);
      assertThat(System.nanoTime() / 1_000_000 - startMillis).isLessThan(REJECTED_AT_ONCE_MILLIS);
    }
    assertThat(runsByPath).isEmpty();
  }

  @Test
  void a_stream_that_its_backend_server_breaks_off_does_not_end_as_complete() throws Exception {
    gateway().setPartitionedFromBackends(true);

    for (int number = 0; number < REQUESTS; number++) {
      String response = sendRawRequest(partitionedGateway, "/drafts/" + number, "");

      assertThat(response).contains("token 1").doesNotContain("\r\n0\r\n");
      assertThat(runsByPath).containsEntry("/drafts/" + number, 1);
    }
  }

  @Test
  void a_request_is_given_up_when_its_caller_leaves() throws Exception {
    gateway().setPartitionedFromBackends(true);
    assertServedOnce("/quick/");

    Socket caller = openRawRequest(partitionedGateway, "left", "/pages/slow", "");
    BoundedWait.until("the request runs", () -> runsByPath.containsKey("/pages/slow"));
    caller.close();

    BoundedWait.until("the backend server's connection ends", () -> abandoned.get() == 1);
  }

  @Test
  void a_caller_gets_its_own_answers_over_and_over_while_the_partition_comes_and_goes()
      throws Exception {
    for (int round = 0; round < 6; round++) {
      gateway().setPartitionedFromBackends(round % 2 == 0);
      assertServedOnce("/holds/round-" + round + "-");
    }
  }
}
