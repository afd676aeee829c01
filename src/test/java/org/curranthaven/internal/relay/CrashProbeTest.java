package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.curranthaven.internal.dispatch.BackendStatements;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.curranthaven.platform.PlatformProtocol;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against an engine that lost one response and counts as crashed, and the reverse. */
@Timeout(60)
class CrashProbeTest {
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<String> reports = new CopyOnWriteArrayList<>();
  private final BackendPool pool =
      new BackendPool(group.next(), Clock.system(), new PlatformProtocol());
  private final CrashProbe probe = new CrashProbe(pool, new RecordingPlacer());

  private final class RecordingPlacer implements RequestPlacer {
    @Override
    public void requestPlacement(PlacementRequest request, PlacementListener listener) {}

    @Override
    public void reportProgress(long id, int outputTokens) {}

    @Override
    public void reportStatements(
        long id, String backend, BackendStatements stated, long attemptStartedAtMillis) {}

    @Override
    public boolean isRefusing(String backend) {
      return false;
    }

    @Override
    public boolean isEvacuated(BackendRecord backend) {
      return false;
    }

    @Override
    public void reportCrash(String backend) {
      reports.add(backend);
    }

    @Override
    public long blockedMillis(PlacementRequest placementRequest) {
      return 0;
    }

    @Override
    public void reportEnd(long id, DispatchOutcome outcome, int outputTokens) {}
  }

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  private boolean check(String id, int port) throws Exception {
    BackendRecord engine =
        BackendRecord.newBuilder().setId(id).setAddress("127.0.0.1:" + port).build();
    CompletableFuture<Boolean> first = new CompletableFuture<>();
    CompletableFuture<Boolean> second = new CompletableFuture<>();
    group
        .next()
        .execute(
            () -> {
              probe.check(engine, first::complete);
              probe.check(engine, second::complete);
            });
    assertThat(second.get(30, TimeUnit.SECONDS)).isEqualTo(first.get(30, TimeUnit.SECONDS));
    return first.get();
  }

  @Test
  void an_engine_that_refuses_connections_has_crashed_and_is_reported_once() throws Exception {
    try (Socket bound = new Socket()) {
      // Bound and not listening: nobody else can take the port, and connections are refused.
      bound.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      assertThat(check("i-1", bound.getLocalPort())).isTrue();
    }

    assertThat(reports).containsExactly("i-1");
    assertThat(pool.connectionsOpened()).isEqualTo(1);
  }

  @Test
  void an_engine_that_accepts_a_connection_runs() throws Exception {
    try (ServerSocket open = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      assertThat(check("i-1", open.getLocalPort())).isFalse();
    }

    assertThat(reports).isEmpty();
  }
}
