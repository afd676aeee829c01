package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.platform.PlatformProtocol;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a response that is taken for the answer to another transmission. */
@Timeout(60)
class TransmissionTest {
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final BackendPool pool = new BackendPool(loop, Clock.system(), new PlatformProtocol());

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  /** Starts an attempt with a request that has a body of the given length. */
  private CompletableFuture<AttemptResult> start(ServerSocket server, String id, int bodyBytes) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.POST,
            "/pages/1",
            Unpooled.wrappedBuffer(new byte[bodyBytes]));
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
    BackendRecord backend =
        BackendRecord.newBuilder()
            .setId("i-1")
            .setAddress("127.0.0.1:" + server.getLocalPort())
            .build();
    CompletableFuture<AttemptResult> result = new CompletableFuture<>();
    Attempt.Listener listener = new ResultListener(result::complete);
    Attempt attempt =
        new Attempt(
            backend,
            new ResponseMemory(new ResponseBuffers(), new BodyMemory(1024 * 1024)),
            listener);
    loop.execute(() -> attempt.start(pool, request, id, Long.MAX_VALUE, () -> true));
    return result;
  }

  private static void write(Socket connection, String text) throws IOException {
    connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    connection.getOutputStream().flush();
  }

  /** Reads a request without a body. */
  private static void readRequest(Socket connection) throws IOException {
    InputStream in = connection.getInputStream();
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int octet = in.read();
      if (octet < 0) {
        throw new IOException("the connection ended");
      }
      head.append((char) octet);
    }
  }

  private static String response(int status, String headers) {
    return "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: 4\r\n\r\nfour";
  }

  /**
   * Serves each request on a thread: refuses the first one, and answers any later one with the late
   * copy of that refusal, if it comes on the same connection, and a success.
   */
  private static void serveWithLateRefusal(ServerSocket server, String idHeader) {
    String refusal = response(503, idHeader + "Not-Executed: 1\r\nKeep-Alive: timeout=60\r\n");
    String success = response(200, idHeader + "Response-Seal: s\r\n");
    Thread.ofVirtual()
        .start(
            () -> {
              try (Socket first = server.accept()) {
                readRequest(first);
                write(first, refusal);
                Thread.ofVirtual().start(() -> serveOnce(server, success));
                readRequest(first);
                write(first, refusal + success);
                Thread.sleep(30_000);
              } catch (IOException | InterruptedException e) {
                // The pool closed the connection.
              }
            });
  }

  private static void serveOnce(ServerSocket server, String response) {
    try (Socket connection = server.accept()) {
      readRequest(connection);
      write(connection, response);
      readRequest(connection);
    } catch (IOException e) {
      // The test has ended.
    }
  }

  @Test
  void a_late_copy_of_a_refusal_is_not_the_answer_to_the_same_request_when_it_is_sent_again()
      throws Exception {
    for (String idHeader : List.of("Attempt-Id: r\r\n", "")) {
      try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
        serveWithLateRefusal(server, idHeader);
        String id = idHeader.isEmpty() ? "" : "r";

        AttemptResult first = start(server, id, 0).get(20, TimeUnit.SECONDS);
        AttemptResult second = start(server, id, 0).get(20, TimeUnit.SECONDS);

        assertThat(first).isInstanceOf(AttemptResult.NotRun.class);
        assertThat(second)
            .as("id header \"%s\"", idHeader)
            .isNotInstanceOf(AttemptResult.NotRun.class);
      }
    }
  }

  @Test
  void a_response_without_length_is_not_complete_when_the_rest_of_its_request_cannot_be_sent()
      throws Exception {
    try (ServerSocket server = new ServerSocket()) {
      // The request cannot be sent whole before the connection is reset.
      server.setReceiveBufferSize(4_096);
      server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      CompletableFuture<AttemptResult> result = start(server, "r", 32 * 1024 * 1024);
      try (Socket connection = server.accept()) {
        readRequest(connection);
        write(connection, "HTTP/1.1 200 X\r\nAttempt-Id: r\r\nResponse-Seal: s\r\n\r\ncut");
        Thread.sleep(200);
        connection.setSoLinger(true, 0);
      }

      assertThat(result.get(20, TimeUnit.SECONDS)).isInstanceOf(AttemptResult.Interrupted.class);
    }
  }
}
