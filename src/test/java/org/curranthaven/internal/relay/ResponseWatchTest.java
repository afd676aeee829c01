package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.lang.reflect.Proxy;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.junit.jupiter.api.Test;

/** Guards against a timer that keeps an ended attempt and its bodies in memory. */
class ResponseWatchTest {
  private static final long TARGET_MILLIS = 30_000;
  private static final long NO_TIMER = -1;

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final Attempt attempt =
      new Attempt(
          BackendRecord.getDefaultInstance(),
          new ResponseMemory(new ResponseBuffers(), new BodyMemory(1024 * 1024)),
          new ResultListener(result -> {}));

  private ResponseWatch watch() {
    RelayContext context =
        (RelayContext)
            Proxy.newProxyInstance(
                RelayContext.class.getClassLoader(),
                new Class<?>[] {RelayContext.class},
                (proxy, method, arguments) -> channel.eventLoop());
    ResponseWatch.Request request =
        (ResponseWatch.Request)
            Proxy.newProxyInstance(
                ResponseWatch.class.getClassLoader(),
                new Class<?>[] {ResponseWatch.Request.class},
                (proxy, method, arguments) -> {
                  throw new UnsupportedOperationException(method.getName());
                });
    return new ResponseWatch(context, request, attempt);
  }

  @Test
  void the_wait_for_a_response_ends_with_the_attempt() {
    channel.freezeTime();
    watch().awaitResponse(TARGET_MILLIS);
    assertThat(channel.runScheduledPendingTasks()).isNotEqualTo(NO_TIMER);

    attempt.cancel();

    assertThat(channel.runScheduledPendingTasks()).isEqualTo(NO_TIMER);
  }

  @Test
  void the_wait_for_events_ends_with_an_abandoned_attempt() {
    channel.freezeTime();
    watch().awaitEvents();
    assertThat(channel.runScheduledPendingTasks()).isNotEqualTo(NO_TIMER);

    attempt.abandonUnresponsive(TARGET_MILLIS);

    assertThat(channel.runScheduledPendingTasks()).isEqualTo(NO_TIMER);
  }
}
