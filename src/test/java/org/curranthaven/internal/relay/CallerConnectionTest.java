package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.lang.reflect.Proxy;
import java.util.List;
import org.curranthaven.api.Outcome;
import org.curranthaven.internal.catalog.Catalog;
import org.junit.jupiter.api.Test;

/** A gateway that has just started, on given time: what becomes of calls before it knows enough. */
class CallerConnectionTest {
  private static final long LONG_DEADLINE_MILLIS = 39_000;
  private static final long SHORT_DEADLINE_MILLIS = 600;

  private final ManualTime time = new ManualTime();
  private final DeferredActions awaiting = new DeferredActions(time.loop());
  private boolean informed;
  private long deadlineMillis = LONG_DEADLINE_MILLIS;
  private final EmbeddedChannel caller = new EmbeddedChannel(new CallerConnection(context()));

  /** A context that has an empty catalog: every call that is routed gets status 404. */
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
                  case "isInitialized" -> informed;
                  case "isDraining" -> false;
                  case "whenInitialized" -> {
                    awaiting.defer((Runnable) arguments[0], (long) arguments[1]);
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
                return Outcome.success(call((FullHttpRequest) arguments[0]));
              }
              throw new UnsupportedOperationException(method.getName());
            });
  }

  private InboundRequest call(FullHttpRequest request) {
    return new InboundRequest(
        "id",
        "here",
        request.method(),
        request.uri(),
        request.uri(),
        "",
        deadlineMillis,
        "",
        0,
        0,
        0,
        List.of(),
        "",
        new DefaultHttpHeaders(),
        new byte[0],
        true);
  }

  private void send() {
    caller.writeInbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x/"));
  }

  private int status() {
    FullHttpResponse response = caller.readOutbound();
    return response == null ? 0 : response.status().code();
  }

  private void becomeInformed() {
    informed = true;
    awaiting.runPending();
    time.advance(10);
  }

  @Test
  void a_call_that_comes_before_the_catalog_is_served_once_the_catalog_is_there() {
    send();
    time.advance(500);
    assertThat(status()).isZero();

    becomeInformed();

    assertThat(status()).isEqualTo(404);
    time.advance(2_000);
    assertThat(status()).isZero();
  }

  @Test
  void a_call_is_turned_away_when_no_catalog_comes() {
    send();
    time.advance(2_000);

    FullHttpResponse response = caller.readOutbound();
    assertThat(response.status().code()).isEqualTo(503);
    assertThat(response.headers().contains(HttpHeaderNames.RETRY_AFTER)).isTrue();
    assertThat(awaiting.size()).isZero();
    becomeInformed();
    assertThat(status()).isZero();
  }

  @Test
  void a_call_with_little_time_is_turned_away_at_once() {
    deadlineMillis = SHORT_DEADLINE_MILLIS;

    send();

    assertThat(status()).isEqualTo(503);
  }

  @Test
  void a_caller_that_left_meanwhile_gets_nothing() {
    send();
    caller.close();

    becomeInformed();

    assertThat(status()).isZero();
  }
}
