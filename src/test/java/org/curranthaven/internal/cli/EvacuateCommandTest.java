package org.curranthaven.internal.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Queue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against orders that are given up too early, or sent again although they are rejected. */
@Timeout(60)
class EvacuateCommandTest {
  private final Queue<Integer> statuses = new ArrayDeque<>();
  private final List<String> received = Collections.synchronizedList(new ArrayList<>());
  private final HttpServer server;
  private final String address;

  EvacuateCommandTest() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    address = "127.0.0.1:" + server.getAddress().getPort();
  }

  @BeforeEach
  void startServer() {
    server.createContext(
        "/",
        exchange -> {
          received.add(exchange.getRequestMethod() + " " + exchange.getRequestURI());
          Integer status = statuses.poll();
          if (status != null && status == 307) {
            String location = "http://" + address + "/api/evacuate/east?revision=4";
            exchange.getResponseHeaders().set("Location", location);
          }
          exchange.sendResponseHeaders(status == null ? 200 : status, -1);
          exchange.close();
        });
    server.start();
  }

  @AfterEach
  void stopServer() {
    server.stop(0);
  }

  private int run(String... arguments) {
    List<String> all = new ArrayList<>(List.of("evacuate", "east", "--control", address));
    all.addAll(List.of(arguments));
    return Main.run(all.toArray(new String[0]));
  }

  @Test
  void an_order_that_is_acknowledged_is_sent_once() {
    assertThat(run()).isZero();
    assertThat(run("--end")).isZero();
    assertThat(received).hasSize(2);
    assertThat(received.get(0)).startsWith("POST ").endsWith("/east");
    assertThat(received.get(1)).startsWith("DELETE ").endsWith("/east");
  }

  @Test
  void an_order_that_is_redirected_is_sent_with_the_revision_of_its_location() {
    statuses.addAll(List.of(307, 307));

    assertThat(run("--end")).isZero();
    assertThat(received).hasSize(3);
    assertThat(received.getLast()).startsWith("DELETE ").endsWith("/east?revision=4");
  }

  @Test
  void an_order_that_is_redirected_without_end_is_given_up() {
    statuses.addAll(Collections.nCopies(10_000, 307));

    assertThat(run()).isNotZero();
    assertThat(received).hasSizeLessThan(1_000);
  }

  @Test
  void an_order_is_sent_again_after_a_status_that_may_pass() {
    statuses.addAll(List.of(503, 408, 429));

    assertThat(run()).isZero();
    assertThat(received).hasSize(4);
  }

  @Test
  void an_order_for_an_unknown_data_centre_is_not_sent_again() {
    statuses.add(422);

    assertThat(run()).isNotZero();
    assertThat(received).hasSize(1);
  }

  @Test
  void an_order_goes_to_the_next_control_host_when_one_cannot_be_reached() {
    int status =
        Main.run(
            new String[] {"evacuate", "east", "--control", "127.0.0.1:1", "--control", address});

    assertThat(status).isZero();
    assertThat(received).hasSize(1);
  }
}
