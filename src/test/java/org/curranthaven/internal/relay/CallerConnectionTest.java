package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.lang.reflect.Proxy;
import java.util.List;
import org.curranthaven.api.Outcome;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.clients.ClientLink;
import org.junit.jupiter.api.Test;

/**
 * Tests how a gateway that has just started handles requests that arrive before the catalog, on
 * manual time.
 */
class CallerConnectionTest {
  private static final long LONG_DEADLINE_MILLIS = 39_000;
  private static final long SHORT_DEADLINE_MILLIS = 600;

  private final ManualTime time = new ManualTime();
  private final DeferredActions deferredActions = new DeferredActions(time.loop());
  private boolean initialized;
  private boolean draining;
  private long deadlineMillis = LONG_DEADLINE_MILLIS;
  private final EmbeddedChannel caller =
      new EmbeddedChannel(new CallerConnection(context(), ClientLink.UNBOUNDED));

  /** Returns a context with an empty catalog, with which every routed request gets status 404. */
  private final RequestForwarding forwarding =
      new RequestForwarding(new BackendReach(), new OtherGateways("own"));

  private RelayContext context() {
    return (RelayContext)
        Proxy.newProxyInstance(
            RelayContext.class.getClassLoader(),
            new Class<?>[] {RelayContext.class},
            (proxy, method, arguments) ->
                switch (method.getName()) {
                  case "loop" -> time.loop();
                  case "clock" -> time;
                  case "catalog" -> Catalog.empty();
                  case "protocol" -> protocol();
                  case "isInitialized" -> initialized;
                  case "isDraining" -> draining;
                  case "forwarding" -> forwarding;
                  case "whenInitialized" -> {
                    deferredActions.defer((Runnable) arguments[0], (long) arguments[1]);
                    yield null;
                  }
                  default -> throw new UnsupportedOperationException(method.getName());
                });
  }

  private WireProtocol protocol() {
    return (WireProtocol)
        Proxy.newProxyInstance(
            WireProtocol.class.getClassLoader(),
            new Class<?>[] {WireProtocol.class},
            (proxy, method, arguments) -> {
              if (method.getName().equals("readRequest")) {
                return Outcome.success(inboundRequest((FullHttpRequest) arguments[0]));
              }
              throw new UnsupportedOperationException(method.getName());
            });
  }

  private InboundRequest inboundRequest(FullHttpRequest request) {
    return new InboundRequest(
        "id",
        "here",
        request.method(),
        request.uri(),
        request.uri(),
        "",
        deadlineMillis,
        0,
        0,
        0,
        List.of(),
        "",
        "",
        new DefaultHttpHeaders(),
        new byte[0]);
  }

  private void send() {
    caller.writeInbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x/"));
  }

  private int status() {
    FullHttpResponse response = caller.readOutbound();
    return response == null ? 0 : response.status().code();
  }

  private void initialize() {
    initialized = true;
    deferredActions.runPending();
    time.advance(10);
  }

  /** Guards against memory that callers take by opening connections and closing them. */
  @Test
  void a_closed_connection_leaves_no_timer_behind() {
    assertThat(time.hasTimers()).isTrue();

    caller.close();

    assertThat(time.hasTimers()).isFalse();
  }

  @Test
  void a_request_that_arrives_before_the_catalog_is_served_once_the_catalog_is_received() {
    send();
    time.advance(500);
    assertThat(status()).isZero();

    initialize();

    assertThat(status()).isEqualTo(404);
    time.advance(2_000);
    assertThat(status()).isZero();
  }

  @Test
  void a_request_is_rejected_when_no_catalog_is_received_in_time() {
    send();
    time.advance(2_000);

    FullHttpResponse response = caller.readOutbound();
    assertThat(response.status().code()).isEqualTo(503);
    assertThat(response.headers().contains(HttpHeaderNames.RETRY_AFTER)).isTrue();
    assertThat(deferredActions.size()).isZero();
    initialize();
    assertThat(status()).isZero();
  }

  /** Guards against a rejection that a caller takes for the response to its request before. */
  @Test
  void a_request_that_is_too_large_gets_no_response_before_the_one_that_precedes_it() {
    send();
    caller.writeInbound(
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/y/"),
        new DefaultHttpContent(
            Unpooled.wrappedBuffer(new byte[Catalog.empty().limits().maxBodyBytes() + 1])));
    assertThat(status()).isZero();

    initialize();

    assertThat(status()).isEqualTo(404);
    assertThat(status()).isZero();
    assertThat(caller.isOpen()).isFalse();
  }

  @Test
  void a_request_with_a_short_deadline_is_rejected_at_once() {
    deadlineMillis = SHORT_DEADLINE_MILLIS;

    send();

    assertThat(status()).isEqualTo(503);
  }

  /**
   * Guards against requests that were read and lost when a draining gateway closes a connection.
   */
  @Test
  void requests_read_before_the_close_of_a_planned_stop_get_their_responses() {
    send();
    send();
    send();
    draining = true;

    initialize();

    for (int number = 1; number <= 3; number++) {
      FullHttpResponse response = caller.readOutbound();
      assertThat(response.status().code()).isEqualTo(404);
      assertThat(response.headers().contains(HttpHeaderNames.CONNECTION, "close", true))
          .isEqualTo(number == 3);
    }
    assertThat(caller.isOpen()).isFalse();
  }

  /** Guards against a connection that is kept for as long as its caller leaves it unread. */
  @Test
  void a_connection_whose_last_response_is_not_taken_is_closed_after_the_idle_timeout() {
    EmbeddedChannel unreading =
        new EmbeddedChannel(
            new ChannelOutboundHandlerAdapter() {
              @Override
              public void write(
                  ChannelHandlerContext handlerContext, Object message, ChannelPromise promise) {
                ReferenceCountUtil.release(message);
              }
            },
            new CallerConnection(context(), ClientLink.UNBOUNDED));
    initialized = true;
    draining = true;
    unreading.writeInbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x/"));
    assertThat(unreading.isOpen()).isTrue();

    time.advance(2 * Catalog.empty().limits().idleTimeoutMillis());

    assertThat(unreading.isOpen()).isFalse();
  }

  @Test
  void a_caller_that_has_disconnected_gets_no_response() {
    send();
    caller.close();

    initialize();

    assertThat(status()).isZero();
  }
}
