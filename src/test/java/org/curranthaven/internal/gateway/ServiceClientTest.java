package org.curranthaven.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against an answer of a service whose status is none. */
@Timeout(60)
class ServiceClientTest {
  private static final long TIMEOUT_MILLIS = 5_000;

  private static void respond(ServerSocket server, String status) {
    try (Socket connection = server.accept()) {
      connection.getInputStream().read(new byte[4_096]);
      String response = "HTTP/1.1 " + status + " X\r\nContent-Length: 4\r\n\r\nbody";
      connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
      connection.getInputStream().read();
    } catch (IOException e) {
      // The client has closed the connection.
    }
  }

  private static ServiceClient.AttemptResult resultFor(String status) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Thread.ofVirtual().start(() -> respond(server, status));
      return new ServiceClient()
          .send(
              "127.0.0.1:" + server.getLocalPort(),
              new ServiceClient.ServiceRequest("GET", "/", "", ByteString.EMPTY, ""),
              TIMEOUT_MILLIS,
              true);
    }
  }

  @Test
  void an_answer_whose_status_is_none_is_not_handed_on() throws Exception {
    for (String status : List.of("000", "099", "00", "-200", "600", "999", "+200", "0x2")) {
      assertThat(resultFor(status))
          .as(status)
          .isInstanceOf(ServiceClient.AttemptResult.OutcomeUnknown.class);
    }
    assertThat(resultFor("200")).isInstanceOf(ServiceClient.AttemptResult.Responded.class);
    assertThat(resultFor("599")).isInstanceOf(ServiceClient.AttemptResult.Responded.class);
  }
}
