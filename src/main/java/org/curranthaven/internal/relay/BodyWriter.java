package org.curranthaven.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import org.curranthaven.internal.transport.EventLoops;
import org.jspecify.annotations.Nullable;

/**
 * Writes a large body in pieces, as its connection takes them. A body written as a whole would be
 * copied as a whole to memory outside the heap. Confined to the event loop.
 */
final class BodyWriter {
  /** Size up to which a body is written as a whole. */
  static final int PIECE_BYTES = 64 * 1024;

  private final ChannelHandlerContext context;
  private final ByteBuf body;
  private boolean writing;

  /** Takes over the body. */
  BodyWriter(ChannelHandlerContext context, ByteBuf body) {
    this.context = context;
    this.body = body;
  }

  /** Returns whether all pieces have been written. */
  boolean isFinished() {
    return !body.isReadable();
  }

  /**
   * Writes pieces until the connection takes no more; to be called again once it does.
   *
   * @return the write of the last piece; null while pieces are left
   */
  @Nullable ChannelFuture resume() {
    ChannelFuture last = null;
    if (writing) {
      return null;
    }
    writing = true;
    while (body.isReadable() && context.channel().isWritable()) {
      ByteBuf piece = body.readRetainedSlice(Math.min(PIECE_BYTES, body.readableBytes()));
      HttpContent content =
          body.isReadable() ? new DefaultHttpContent(piece) : new DefaultLastHttpContent(piece);
      ChannelFuture written = context.writeAndFlush(content).addListener(EventLoops.REPORT_ERROR);
      if (!body.isReadable()) {
        body.release();
        last = written;
        break;
      }
    }
    writing = false;
    return last;
  }
}
