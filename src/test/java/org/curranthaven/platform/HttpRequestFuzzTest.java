package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Sends damaged requests to the caller address of the gateway and to the control address of the
 * control host. A seed always gives the same bytes.
 */
@Timeout(180)
class HttpRequestFuzzTest extends RoutedFleetFixture {
  private static final int CASES = 250;
  private static final int CASES_PER_PROBE = 25;
  private static final int READ_TIMEOUT_MILLIS = 6_000;

  private static final String VALID_REQUEST =
      "POST /pages/1 HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: fuzz\r\nX-Api-Key: k1\r\n"
          + "Deadline-Ms: 1000\r\nContent-Length: 4\r\n\r\nbody";

  private static final String REGISTRATION =
      "PUT /api/runners/i-1 HTTP/1.1\r\nHost: x\r\nContent-Length: 89\r\n\r\n"
          + "{\"service\":\"plain\",\"address\":\"127.0.0.1:9\",\"slots\":4,"
          + "\"state\":\"draining\",\"seq\":999999}";

  private static final List<String> INSERTIONS =
      List.of(
          "\r\n",
          "\n",
          "\0",
          "Content-Length: 3\r\n",
          "Transfer-Encoding: chunked\r\n",
          "Transfer-Encoding: xchunked\r\n",
          "GET /pages/smuggled HTTP/1.1\r\nHost: site.example\r\n\r\n",
          "ffffffffffffffff\r\n",
          "Host: other\r\n",
          " ",
          ":",
          "x".repeat(40_000));

  /**
   * Returns the text with one to three changes: a byte replaced, bytes deleted or inserted, or the
   * end cut off.
   */
  private static byte[] damaged(String text, SplittableRandom random) {
    StringBuilder damaged = new StringBuilder(text);
    int changes = random.nextInt(1, 4);
    for (int i = 0; i < changes; i++) {
      int position = random.nextInt(damaged.length());
      switch (random.nextInt(4)) {
        case 0 -> damaged.setCharAt(position, (char) random.nextInt(256));
        case 1 ->
            damaged.delete(position, Math.min(damaged.length(), position + random.nextInt(1, 12)));
        case 2 -> damaged.insert(position, INSERTIONS.get(random.nextInt(INSERTIONS.size())));
        default -> damaged.setLength(Math.max(1, position));
      }
    }
    return damaged.toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  /**
   * Sends bytes and reads until the server closes the connection; returns the response, or an empty
   * text if the connection was reset.
   */
  private static String send(String address, byte[] bytes) throws IOException {
    int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      socket.getOutputStream().write(bytes);
      socket.shutdownOutput();
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    } catch (SocketTimeoutException e) {
      throw new AssertionError(
          "server at "
              + address
              + " neither responded nor closed the connection within "
              + READ_TIMEOUT_MILLIS
              + " ms",
          e);
    } catch (IOException e) {
      return "";
    }
  }

  @Test
  void damaged_requests_end_with_a_response_or_a_closed_connection_and_affect_no_other_request()
      throws Exception {
    try (FakeBackend backend =
        new FakeBackend(
            (request, connection) ->
                FakeBackend.write(connection, FakeBackend.response(request, 200, "complete")))) {
      register("i-1", backend, "ready", 1);
      SplittableRandom random = new SplittableRandom(41);
      for (int i = 0; i < CASES; i++) {
        send(callerAddress, damaged(VALID_REQUEST, random));
        if (i % CASES_PER_PROBE == 0) {
          assertThat(sendRawRequest("/pages/probe", ""))
              .as("after case %d", i)
              .endsWith("complete");
        }
      }
      assertThat(backend.received())
          .allMatch(request -> request.header("Expect-Instance").equals("i-1"))
          .allMatch(request -> request.header("Tenant").equals("t1"))
          .noneMatch(request -> request.line().contains("smuggled"));
    }
  }

  @Test
  void damaged_control_requests_change_no_catalog_and_stop_no_host() throws Exception {
    try (FakeBackend backend =
        new FakeBackend(
            (request, connection) ->
                FakeBackend.write(connection, FakeBackend.response(request, 200, "complete")))) {
      register("i-9", backend, "ready", 1);
      SplittableRandom random = new SplittableRandom(42);
      String catalog = CATALOG.formatted(1).strip();
      String catalogRequest =
          "PUT /api/config HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s"
              .formatted(catalog.length(), catalog);
      for (int i = 0; i < CASES; i++) {
        send(controlAddress, damaged(i % 2 == 0 ? REGISTRATION : catalogRequest, random));
      }
      assertThat(sendControlRequest("GET", "/api/config", "").body()).contains("\"version\":1");
      assertThat(sendRawRequest("/pages/probe", "")).endsWith("complete");
    }
  }
}
