package org.curranthaven.internal.clients;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.curranthaven.internal.supervision.Clock;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that cost more than their bytes, and against more than one at a time. */
class RequestDecoderTest {
  private static final int MAX_HEAD_BYTES = 1_000;
  private static final long MAX_BYTES = 100_000;

  private final ClientConnections connections = ClientConnections.of(Map.of(), MAX_BYTES);
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final ClientLink client =
      ClientLink.add(
          new ClientChannel.Shared(connections, new ReadTurns(channel.eventLoop()), Clock.system()),
          Door.CALLERS,
          channel,
          () -> MAX_HEAD_BYTES);

  private void receive(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
  }

  /** Returns how many requests were decoded whole, and releases them. */
  private int wholeRequests() {
    int count = 0;
    for (Object part = channel.readInbound(); part != null; part = channel.readInbound()) {
      count += part instanceof LastHttpContent last && last.decoderResult().isSuccess() ? 1 : 0;
      ReferenceCountUtil.release(part);
    }
    return count;
  }

  /** Returns why what was received is refused, or null if it is not. */
  private @Nullable Throwable refusal() {
    Throwable cause = null;
    for (Object part = channel.readInbound(); part != null; part = channel.readInbound()) {
      if (((HttpObject) part).decoderResult().isFailure()) {
        cause = ((HttpObject) part).decoderResult().cause();
      }
      ReferenceCountUtil.release(part);
    }
    return cause;
  }

  private static String head(int headBytes, String line) {
    String start = "GET /a HTTP/1.1\r\np:";
    int freeBytes = headBytes - start.length() - 2;
    return start
        + "x".repeat(freeBytes % line.length())
        + "\r\n"
        + line.repeat(freeBytes / line.length());
  }

  @ParameterizedTest
  @ValueSource(strings = {"a: b\r\n", "a:b\r\n", "a:\r\n"})
  void a_head_at_the_limit_is_decoded_and_one_beyond_it_is_not(String line) {
    receive(head(MAX_HEAD_BYTES, line) + "\r\n");
    assertThat(wholeRequests()).isEqualTo(1);

    client.proceed();
    receive(head(MAX_HEAD_BYTES + 1, line) + "\r\n");
    assertThat(refusal()).isInstanceOf(TooLongFrameException.class);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET /",
        "GET /a HTTP/1.1\r\na: ",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\na: "
      })
  void a_line_without_end_is_refused(String start) {
    receive(start);
    for (int sent = 0; sent <= MAX_HEAD_BYTES; sent += 100) {
      receive("x".repeat(100));
    }

    assertThat(refusal()).isInstanceOf(TooLongFrameException.class);
    assertThat(channel.readInbound() == null).isTrue();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "\r\n",
        "GET /a HTTP/1.1\r\n|a:b\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n|a:b\r\n"
      })
  void lines_without_end_are_refused(String text) {
    int bar = text.indexOf('|');
    receive(bar < 0 ? "" : text.substring(0, bar));
    for (int sent = 0; sent < 2 * MAX_HEAD_BYTES; sent++) {
      receive(text.substring(bar + 1));
    }

    assertThat(refusal()).isInstanceOf(TooLongFrameException.class);
  }

  @Test
  void requests_behind_one_in_progress_stay_undecoded() {
    String request = "GET /a HTTP/1.1\r\na: b\r\n\r\n";
    receive(request.repeat(3));

    assertThat(wholeRequests()).isEqualTo(1);
    assertThat(client.hasUndecoded()).isTrue();
    client.proceed();
    assertThat(wholeRequests()).isEqualTo(1);
    client.proceed();
    assertThat(wholeRequests()).isEqualTo(1);
    assertThat(client.hasUndecoded()).isFalse();
  }

  @Test
  void a_connection_is_not_read_on_while_much_is_received_behind_a_request() {
    receive("GET /a HTTP/1.1\r\n\r\n");
    receive("x".repeat(20_000));
    assertThat(channel.config().isAutoRead()).isFalse();
    assertThat(wholeRequests()).isEqualTo(1);

    client.proceed();

    assertThat(channel.config().isAutoRead()).isTrue();
    assertThat(refusal()).isInstanceOf(TooLongFrameException.class);
  }

  /** Guards against requests that gather without bound behind those that are answered. */
  @Test
  void a_connection_is_not_read_on_while_much_is_left_behind_the_next_request() {
    receive("GET /a HTTP/1.1\r\n\r\n".repeat(2_000));
    assertThat(wholeRequests()).isEqualTo(1);
    assertThat(channel.config().isAutoRead()).isFalse();

    client.proceed();

    assertThat(wholeRequests()).isEqualTo(1);
    assertThat(channel.config().isAutoRead()).isFalse();
    for (int request = 2; request < 2_000; request++) {
      client.proceed();
      assertThat(wholeRequests()).isEqualTo(1);
    }
    assertThat(channel.config().isAutoRead()).isTrue();
    assertThat(client.hasUndecoded()).isFalse();
  }

  /** Guards against a pause that the decoder ends by asking for more by itself. */
  @Test
  void nothing_more_is_asked_for_while_much_is_received_behind_a_request() {
    AtomicInteger readsAsked = new AtomicInteger();
    channel
        .pipeline()
        .addFirst(
            new ChannelOutboundHandlerAdapter() {
              @Override
              public void read(ChannelHandlerContext context) {
                readsAsked.incrementAndGet();
                context.read();
              }
            });
    receive("GET /a HTTP/1.1\r\n\r\n");
    assertThat(wholeRequests()).isEqualTo(1);
    receive("x".repeat(20_000));
    assertThat(channel.config().isAutoRead()).isFalse();
    readsAsked.set(0);

    receive("x");
    assertThat(readsAsked).hasValue(0);

    client.proceed();
    assertThat(readsAsked.get()).isPositive();
  }

  @Test
  void nothing_is_kept_behind_a_whole_request_that_was_refused() {
    receive("GET /a HTTP/1.1\r\n\r\n");
    receive("x".repeat(20_000));
    client.refused();

    receive("x".repeat(20_000));

    assertThat(client.hasUndecoded()).isFalse();
    assertThat(channel.config().isAutoRead()).isTrue();
  }

  @Test
  void a_head_counts_with_its_lines_until_its_response_is_sent() {
    receive("GET /a HTTP/1.1\r\n" + "a:b\r\n".repeat(100));
    assertThat(connections.heldBytes()).isGreaterThan(100 * 200);
    receive("\r\n");
    assertThat(connections.heldBytes()).isGreaterThan(100 * 200);
    assertThat(wholeRequests()).isEqualTo(1);

    client.proceed();

    assertThat(connections.heldBytes()).isZero();
  }

  @Test
  void a_costly_read_waits_for_its_turn() {
    channel.freezeTime();
    receive("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    receive("1\r\nx\r\n".repeat(600));
    assertThat(channel.config().isAutoRead()).isFalse();

    channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();

    assertThat(channel.config().isAutoRead()).isTrue();
  }

  @Test
  void ambiguous_framing_is_refused() {
    receive("POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n");

    assertThat(refusal()).isNotNull();
  }

  @Test
  void empty_lines_before_a_request_do_not_count_as_its_head() {
    receive("\r\n" + head(MAX_HEAD_BYTES, "a:b\r\n") + "\r\n");

    assertThat(channel.<HttpRequest>readInbound().decoderResult().isSuccess()).isTrue();
  }
}
