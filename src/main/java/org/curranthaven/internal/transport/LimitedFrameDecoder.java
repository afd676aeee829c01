package org.curranthaven.internal.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import java.util.List;

/**
 * Splits what another host sends into messages. A length beyond the limit closes the connection
 * before anything of that message is kept.
 */
final class LimitedFrameDecoder extends ProtobufVarint32FrameDecoder {
  private static final int MAX_LENGTH_BYTES = 5;
  private static final int BITS_OF_A_BYTE = 7;
  private static final int VALUE_MASK = 0x7f;

  private final long maxFrameBytes;

  /**
   * Creates a decoder.
   *
   * @param maxFrameBytes largest message that is accepted
   */
  LimitedFrameDecoder(long maxFrameBytes) {
    this.maxFrameBytes = maxFrameBytes;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    long frameBytes = announcedBytes(in);
    if (frameBytes > maxFrameBytes) {
      throw new TooLongFrameException(
          "a message of "
              + frameBytes
              + " bytes exceeds the limit of "
              + maxFrameBytes
              + " bytes between hosts");
    }
    super.decode(context, in, out);
  }

  /** Returns the length at the start of the bytes, without taking it; 0 if it is not complete. */
  private static long announcedBytes(ByteBuf in) {
    long length = 0;
    int available = Math.min(MAX_LENGTH_BYTES, in.readableBytes());
    for (int i = 0; i < available; i++) {
      byte part = in.getByte(in.readerIndex() + i);
      length |= (long) (part & VALUE_MASK) << (BITS_OF_A_BYTE * i);
      if (part >= 0) {
        return length;
      }
    }
    return 0;
  }
}
