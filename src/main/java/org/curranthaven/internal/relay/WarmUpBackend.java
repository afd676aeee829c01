package org.curranthaven.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * Connections of the stand-in backend server that responds to the requests of a {@link
 * RequestPathWarmUp}: to a path with {@link RequestPathWarmUp#STREAM_PATH} with events, to any
 * other with a short body.
 */
final class WarmUpBackend extends ChannelInitializer<Channel> {
  private static final int MAX_BODY_BYTES = 65_536;
  private static final int EVENTS = 4;

  /** Pause between events, so that each arrives by itself. */
  private static final long EVENT_INTERVAL_MILLIS = 1;

  private final WireProtocol protocol;

  WarmUpBackend(WireProtocol protocol) {
    this.protocol = protocol;
  }

  @Override
  protected void initChannel(Channel channel) {
    channel
        .pipeline()
        .addLast(
            new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), new RequestHandler());
  }

  private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      boolean stream = request.uri().startsWith(RequestPathWarmUp.STREAM_PATH);
      HttpResponse response = protocol.backendResponse(request, stream);
      ByteBuf body = Unpooled.copiedBuffer("done", StandardCharsets.US_ASCII);
      if (stream) {
        HttpUtil.setTransferEncodingChunked(response, true);
        context.writeAndFlush(response);
        writeEvent(context, 1);
      } else {
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        context.write(response);
        context.write(new DefaultHttpContent(body));
        context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
      }
    }

    private void writeEvent(ChannelHandlerContext context, int number) {
      if (number > EVENTS) {
        context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        return;
      }
      String event = "id: " + number + "\ndata: token\n\n";
      context.writeAndFlush(
          new DefaultHttpContent(Unpooled.copiedBuffer(event, StandardCharsets.US_ASCII)));
      context
          .executor()
          .schedule(
              () -> writeEvent(context, number + 1), EVENT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
