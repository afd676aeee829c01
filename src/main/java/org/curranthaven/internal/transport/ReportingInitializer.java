package org.curranthaven.internal.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import org.curranthaven.internal.supervision.FatalErrors;

/** Initializes channels, and reports an error that occurs meanwhile to {@link FatalErrors}. */
public abstract class ReportingInitializer extends ChannelInitializer<Channel> {
  /** Returns a handler of a listening channel that reports an error in accepting connections. */
  public static ChannelHandler forListener() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        FatalErrors.report(cause);
        context.fireExceptionCaught(cause);
      }
    };
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) throws Exception {
    FatalErrors.report(cause);
    super.exceptionCaught(context, cause);
  }
}
