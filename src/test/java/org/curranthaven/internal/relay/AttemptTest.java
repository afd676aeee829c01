package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.platform.PlatformProtocol;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against a request that is sent although it must not be by the time it has a connection.
 */
@Timeout(60)
class AttemptTest {
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final BackendPool pool = new BackendPool(loop, Clock.system(), new PlatformProtocol());
  private final CompletableFuture<AttemptResult> result = new CompletableFuture<>();
  private final FullHttpRequest request =
      new DefaultFullHttpRequest(
          HttpVersion.HTTP_1_1,
          HttpMethod.POST,
          "/pages/1",
          Unpooled.copiedBuffer("question", StandardCharsets.UTF_8));

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  private Attempt newAttempt(int port) {
    BackendRecord backend =
        BackendRecord.newBuilder().setId("i-1").setAddress("127.0.0.1:" + port).build();
    Attempt.Listener listener = new ResultListener(result::complete);
    return new Attempt(
        backend, new ResponseMemory(new ResponseBuffers(), new BodyMemory(1024 * 1024)), listener);
  }

  @Test
  void a_request_whose_data_centre_is_evacuated_while_its_connection_opens_is_not_sent()
      throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      AtomicBoolean mayBeSent = new AtomicBoolean(true);
      Attempt attempt = newAttempt(server.getLocalPort());
      loop.execute(
          () -> {
            attempt.start(pool, request, "id-1", Long.MAX_VALUE, mayBeSent::get);
            mayBeSent.set(false);
          });

      assertThat(result.get(20, TimeUnit.SECONDS)).isInstanceOf(AttemptResult.Unreachable.class);
      assertThat(attempt.wasSent()).isFalse();
      assertThat(request.refCnt()).isZero();
      try (Socket connection = server.accept()) {
        assertThat(connection.getInputStream().read()).isEqualTo(-1);
      }
    }
  }
}
