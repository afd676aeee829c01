package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.EventLoops;
import org.curranthaven.platform.PlatformProtocol;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against one response that takes the event loop as long as its bytes last. */
@Timeout(60)
class BackendReadTurnsTest {
  private static final int BODY_BYTES = 4 * 1024 * 1024;
  private static final int READ_BYTES = 16 * 1024;

  private final EventLoopGroup group = EventLoops.newGroup();
  private final EventLoop loop = group.next();
  private final BackendPool pool = new BackendPool(loop, Clock.system(), new PlatformProtocol());
  private final CountDownLatch ended = new CountDownLatch(1);

  /** Bytes that arrived since another task ran on the event loop; at most, and in all. */
  private int bytesInTurn;

  private int mostBytesInTurn;
  private int receivedBytes;

  private final class CountingListener implements BackendConnection.ResponseListener {
    @Override
    public void onHead(ResponseHead head, HttpResponse response) {}

    @Override
    public void onContent(byte[] bytes) {
      receivedBytes += bytes.length;
      bytesInTurn += bytes.length;
      mostBytesInTurn = Math.max(mostBytesInTurn, bytesInTurn);
    }

    @Override
    public void onEnded(ResponseEnding ending) {
      ended.countDown();
    }
  }

  private void runOtherWork() {
    bytesInTurn = 0;
    if (ended.getCount() > 0) {
      loop.schedule(this::runOtherWork, 1, TimeUnit.MICROSECONDS);
    }
  }

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static void respond(ServerSocket server) {
    try (Socket connection = server.accept()) {
      String head = "HTTP/1.1 200 OK\r\nAttempt-Id: r\r\nContent-Length: " + BODY_BYTES;
      connection.getOutputStream().write((head + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
      connection.getOutputStream().write(new byte[BODY_BYTES]);
      connection.getInputStream().readAllBytes();
    } catch (IOException e) {
      // The gateway has closed the connection.
    }
  }

  @Test
  void other_work_runs_between_two_reads_of_a_long_response() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Thread.ofVirtual().start(() -> respond(server));
      loop.execute(this::runOtherWork);
      loop.execute(
          () ->
              pool.connect(
                  "127.0.0.1:" + server.getLocalPort(),
                  connection ->
                      Objects.requireNonNull(connection)
                          .send(
                              new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                              "r",
                              new CountingListener())));
      assertThat(ended.await(30, TimeUnit.SECONDS)).isTrue();
    }

    assertThat(receivedBytes).isEqualTo(BODY_BYTES);
    assertThat(mostBytesInTurn).isLessThanOrEqualTo(READ_BYTES);
  }
}
