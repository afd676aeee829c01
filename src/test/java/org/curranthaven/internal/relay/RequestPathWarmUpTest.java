package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.platform.PlatformProtocol;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a gateway that is ready though its code has never run: its first callers then wait
 * for that.
 */
class RequestPathWarmUpTest {
  private static final int REQUESTS = 7;
  private static final int POLLS = 1_000;
  private static final long POLL_MILLIS = 10;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();

  @AfterEach
  void stop() throws InterruptedException {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
  }

  private RequestPathWarmUp start(WireProtocol protocol, BooleanSupplier busy)
      throws InterruptedException {
    RequestPathWarmUp warmUp =
        new RequestPathWarmUp(group, loop, Clock.system(), protocol, new SplittableRandom(1), busy);
    assertThat(warmUp.isOver()).isFalse();
    warmUp.start();
    for (int i = 0; i < POLLS && !warmUp.isOver(); i++) {
      Thread.sleep(POLL_MILLIS);
    }
    assertThat(warmUp.isOver()).isTrue();
    return warmUp;
  }

  /** Returns the protocol of the platform, but one in which a method fails. */
  private static WireProtocol protocolWithout(String failingMethod) {
    PlatformProtocol protocol = new PlatformProtocol();
    return (WireProtocol)
        Proxy.newProxyInstance(
            RequestPathWarmUpTest.class.getClassLoader(),
            new Class<?>[] {WireProtocol.class},
            (proxy, method, arguments) -> {
              if (method.getName().equals(failingMethod)) {
                throw new IllegalStateException("made to fail");
              }
              try {
                return method.invoke(protocol, arguments);
              } catch (InvocationTargetException e) {
                throw e.getCause();
              }
            });
  }

  @Test
  void requests_have_run_through_the_whole_path_before_the_warm_up_is_over()
      throws InterruptedException {
    assertThat(start(new PlatformProtocol(), () -> false).responses()).isEqualTo(REQUESTS);
  }

  @Test
  void a_warm_up_gives_way_to_requests_of_callers() throws InterruptedException {
    assertThat(start(new PlatformProtocol(), () -> true).responses()).isZero();
  }

  @Test
  void a_warm_up_whose_backend_server_fails_ends_too() throws InterruptedException {
    assertThat(start(protocolWithout("backendResponse"), () -> false).responses())
        .isBetween(1, REQUESTS);
  }

  @Test
  void a_gateway_that_cannot_listen_for_its_warm_up_goes_on_without_it()
      throws InterruptedException {
    stop();

    assertThat(start(new PlatformProtocol(), () -> false).responses()).isZero();
  }

  @Test
  void a_warm_up_whose_requests_cannot_be_sent_ends_too() throws InterruptedException {
    assertThat(start(protocolWithout("callerRequest"), () -> false).responses()).isZero();
  }
}
