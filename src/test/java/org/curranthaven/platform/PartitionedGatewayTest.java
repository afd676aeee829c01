package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
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

  private final Map<String, Integer> runsByPath = new ConcurrentHashMap<>();
  private final List<FakeBackend> servers = new ArrayList<>();
  private String partitionedGateway = "";

  @BeforeEach
  void startServersAndSecondGateway() throws Exception {
    for (int number = 1; number <= 3; number++) {
      FakeBackend server =
          new FakeBackend(
              (request, connection) -> {
                String path = request.line().split(" ")[1];
                runsByPath.merge(path, 1, Integer::sum);
                if (path.startsWith("/tags/")) {
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
  @Tag("known-red")
  void requests_at_a_partitioned_gateway_are_served_once_each() throws Exception {
    gateway().setPartitionedFromBackends(true);

    assertServedOnce("/quick/");
    assertServedOnce("/holds/");
    assertServedOnce("/tags/");

    gateway().setPartitionedFromBackends(false);
    assertServedOnce("/quick/after-");
  }
}
