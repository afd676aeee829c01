package org.curranthaven.internal.transport;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.TooLongFrameException;
import org.junit.jupiter.api.Test;

/** Guards against a message of another host that is kept without a limit. */
class LimitedFrameDecoderTest {
  private static final int MAX_FRAME_BYTES = 300;

  private final EmbeddedChannel channel =
      new EmbeddedChannel(new LimitedFrameDecoder(MAX_FRAME_BYTES, null));

  @Test
  void a_length_beyond_the_limit_is_refused_before_the_message_is_received() {
    // 301 in seven-bit groups, the lowest first.
    assertThatThrownBy(
            () -> channel.writeInbound(Unpooled.wrappedBuffer(new byte[] {(byte) 0xad, 2})))
        .isInstanceOf(TooLongFrameException.class);
  }

  @Test
  void a_message_within_the_limit_is_received() {
    ByteBuf message =
        Unpooled.wrappedBuffer(new byte[] {(byte) 0xac, 2}, new byte[MAX_FRAME_BYTES]);

    assertThat(channel.writeInbound(message)).isTrue();

    ByteBuf received = channel.readInbound();
    assertThat(received.readableBytes()).isEqualTo(MAX_FRAME_BYTES);
  }

  @Test
  void a_length_that_is_received_in_two_parts_is_read_whole() {
    channel.writeInbound(Unpooled.wrappedBuffer(new byte[] {(byte) 0xad}));

    assertThatThrownBy(() -> channel.writeInbound(Unpooled.wrappedBuffer(new byte[] {2})))
        .isInstanceOf(TooLongFrameException.class);
  }
}
