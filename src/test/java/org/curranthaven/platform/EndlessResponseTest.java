package org.curranthaven.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against backend servers that send bytes without end until the caller closes. */
@Timeout(120)
class EndlessResponseTest extends RoutedFleetFixture {
  /** What the buffers of both ends' sockets may hold, beyond what the gateway takes in. */
  private static final long SOCKET_BYTES = 16 << 20;

  /** Bytes after which the script stops, far beyond every limit. */
  private static final long SCRIPT_BYTES = 128 << 20;

  private static final String KILOBYTE = "x".repeat(1_024);

  private final AtomicLong bytesSent = new AtomicLong();
  private final CountDownLatch connectionClosed = new CountDownLatch(1);

  /** Writes the text again and again until the gateway closes the connection. */
  private void writeWithoutEnd(Socket connection, String text) throws IOException {
    try {
      while (bytesSent.get() < SCRIPT_BYTES) {
        FakeBackend.write(connection, text);
        bytesSent.addAndGet(text.length());
      }
    } catch (IOException e) {
      connectionClosed.countDown();
      throw e;
    }
  }

  private String sendTo(String path, FakeBackend.ResponseScript script) throws Exception {
    try (FakeBackend backend = new FakeBackend(script)) {
      register("i-1", backend, "ready", 1);
      String response = sendRawRequest(path, "");
      assertThat(connectionClosed.await(20, TimeUnit.SECONDS)).isTrue();
      return response;
    }
  }

  @Test
  void a_stream_that_never_ends_its_event_is_broken_off() throws Exception {
    String response =
        sendTo(
            "/drafts/1",
            (request, connection) -> {
              FakeBackend.write(
                  connection,
                  FakeBackend.unframedStreamResponseHead(request)
                      + FakeBackend.plainEvent(1)
                      + "data: ");
              writeWithoutEnd(connection, KILOBYTE);
            });

    assertThat(response).contains("token 1").doesNotEndWith("0\r\n\r\n");
    assertThat(bytesSent.get()).isLessThan(SOCKET_BYTES);
  }

  @Test
  void a_body_that_never_ends_is_not_delivered() throws Exception {
    String response =
        sendTo(
            "/holds/1",
            (request, connection) -> {
              FakeBackend.write(
                  connection,
                  "HTTP/1.1 200 X\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\n\r\n"
                      .formatted(request.header("Attempt-Id")));
              writeWithoutEnd(connection, KILOBYTE);
            });

    assertThat(status(response)).isEqualTo(502);
    assertThat(bytesSent.get()).isLessThan(2 * SOCKET_BYTES);
  }

  @Test
  void a_head_that_never_ends_is_no_response() throws Exception {
    String response =
        sendTo(
            "/holds/1",
            (request, connection) -> {
              FakeBackend.write(connection, "HTTP/1.1 200 X\r\n");
              writeWithoutEnd(connection, "X-Header: " + KILOBYTE + "\r\n");
            });

    assertThat(status(response)).isEqualTo(502);
    assertThat(bytesSent.get()).isLessThan(SOCKET_BYTES);
  }

  @Test
  void a_status_line_that_never_ends_is_no_response() throws Exception {
    String response =
        sendTo(
            "/holds/1",
            (request, connection) -> {
              FakeBackend.write(connection, "HTTP/1.1 200 X");
              writeWithoutEnd(connection, KILOBYTE);
            });

    assertThat(status(response)).isEqualTo(502);
    assertThat(bytesSent.get()).isLessThan(SOCKET_BYTES);
  }

  @Test
  void a_chunk_extension_that_never_ends_does_not_make_a_response_complete() throws Exception {
    String response =
        sendTo(
            "/holds/1",
            (request, connection) -> {
              FakeBackend.write(
                  connection,
                  FakeBackend.streamResponseHead(request).replace("text/event-stream", "text/plain")
                      + FakeBackend.chunk("page")
                      + "4;");
              writeWithoutEnd(connection, KILOBYTE);
            });

    assertThat(status(response)).isEqualTo(502);
    assertThat(bytesSent.get()).isLessThan(SOCKET_BYTES);
  }

  @Test
  void interim_responses_that_never_end_are_no_response() throws Exception {
    String response =
        sendTo(
            "/holds/1",
            (request, connection) ->
                writeWithoutEnd(connection, "HTTP/1.1 102 Processing\r\n\r\n"));

    assertThat(status(response)).isEqualTo(502);
    assertThat(bytesSent.get()).isLessThan(SOCKET_BYTES);
  }

  @Test
  void a_response_to_another_request_that_never_ends_is_no_response() throws Exception {
    String response =
        sendTo(
            "/holds/1",
            (request, connection) -> {
              FakeBackend.write(connection, "HTTP/1.1 200 X\r\nAttempt-Id: other\r\n\r\n");
              writeWithoutEnd(connection, KILOBYTE);
            });

    assertThat(status(response)).isEqualTo(502);
    assertThat(bytesSent.get()).isLessThan(2 * SOCKET_BYTES);
  }

  @Test
  void trailers_that_never_end_do_not_make_a_response_complete() throws Exception {
    String response =
        sendTo(
            "/holds/1",
            (request, connection) -> {
              FakeBackend.write(
                  connection,
                  FakeBackend.streamResponseHead(request).replace("text/event-stream", "text/plain")
                      + FakeBackend.chunk("page")
                      + "0\r\n");
              writeWithoutEnd(connection, "X-Trailer: " + KILOBYTE + "\r\n");
            });

    assertThat(status(response)).isEqualTo(502);
    assertThat(bytesSent.get()).isLessThan(SOCKET_BYTES);
  }
}
