package org.curranthaven.internal.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import java.util.List;
import org.curranthaven.internal.clients.ClientConnections;
import org.jspecify.annotations.Nullable;

/**
 * Splits what another host sends into messages. A length beyond the limit closes the connection
 * before anything of that message is kept.
 */
final class LimitedFrameDecoder extends ProtobufVarint32FrameDecoder {
  private static final int MAX_LENGTH_BYTES = 5;
  private static final int BITS_OF_A_BYTE = 7;
  private static final int VALUE_MASK = 0x7f;

  /** Largest message of a host that has not told its name. */
  private static final long MAX_FIRST_FRAME_BYTES = 64 * 1024;

  private final long maxFrameBytes;
  private final ClientConnections.@Nullable Account account;

  /**
   * Creates a decoder.
   *
   * @param maxFrameBytes largest message that is accepted
   * @param account account of an accepted connection, which holds incomplete messages; null for a
   *     connection to a known host
   */
  LimitedFrameDecoder(long maxFrameBytes, ClientConnections.@Nullable Account account) {
    this.maxFrameBytes = maxFrameBytes;
    this.account = account;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    long frameBytes = announcedBytes(in);
    boolean unknown = account != null && !account.isProven();
    long maxBytes = unknown ? MAX_FIRST_FRAME_BYTES : maxFrameBytes;
    if (frameBytes > maxBytes) {
      throw new TooLongFrameException(
          "a message of "
              + frameBytes
              + " bytes exceeds the limit of "
              + maxBytes
              + " bytes between hosts");
    }
    super.decode(context, in, out);
    if (account != null && !account.hold(in.isReadable() ? in.capacity() : 0)) {
      throw new TooLongFrameException("incomplete messages of other hosts take too much memory");
    }
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
