package org.curranthaven.internal.scheduler;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.curranthaven.internal.relay.ControlRequest;
import org.curranthaven.internal.relay.WireProtocol;
import org.curranthaven.internal.supervision.FatalErrors;
import org.curranthaven.internal.transport.EventLoops;
import org.curranthaven.internal.transport.ReportingInitializer;

/** HTTP server for control requests from backend servers and operators. */
final class ControlServer {
  private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;
  private static final int READ_TIMEOUT_SECONDS = 30;

  /** Limit on the requests of a connection that wait for the response to an earlier one. */
  private static final int MAX_PIPELINED_REQUESTS = 32;

  private final EventLoopGroup eventLoopGroup;
  private final WireProtocol protocol;
  private final BiConsumer<ControlRequest, Consumer<ControlResponse>> handler;

  ControlServer(
      EventLoopGroup group,
      WireProtocol protocol,
      BiConsumer<ControlRequest, Consumer<ControlResponse>> handler) {
    this.eventLoopGroup = group;
    this.protocol = protocol;
    this.handler = handler;
  }

  void bind(InetSocketAddress address) throws InterruptedException {
    new ServerBootstrap()
        .group(eventLoopGroup)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .handler(ReportingInitializer.forListener())
        .childHandler(
            new ReportingInitializer() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(new ReadTimeoutHandler(READ_TIMEOUT_SECONDS))
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpObjectAggregator(MAX_BODY_BYTES, true))
                    .addLast(new RequestHandler());
              }
            })
        .bind(address)
        .sync();
  }

  /** Handles the requests of one connection, one after the other. */
  private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final ArrayDeque<FullHttpRequest> pipelinedRequests = new ArrayDeque<>();
    private boolean responding;

    RequestHandler() {
      super(FullHttpRequest.class);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      if (!responding) {
        handle(context, request);
      } else if (pipelinedRequests.size() < MAX_PIPELINED_REQUESTS) {
        // A response goes to the earliest request that has none, whichever is ready first.
        pipelinedRequests.add(request.retain());
      } else {
        context.close();
      }
    }

    private void handle(ChannelHandlerContext context, FullHttpRequest request) {
      responding = true;
      boolean keepAlive = HttpUtil.isKeepAlive(request);
      if (request.decoderResult().isFailure()) {
        write(
            context,
            ControlResponse.error(
                400, "malformed HTTP request; correct the request and send it again"),
            false);
        return;
      }
      handler.accept(
          protocol.readControlRequest(request),
          response -> {
            write(context, response, keepAlive);
            handleNext(context);
          });
    }

    private void handleNext(ChannelHandlerContext context) {
      responding = false;
      FullHttpRequest next = pipelinedRequests.poll();
      if (next != null) {
        try {
          handle(context, next);
        } finally {
          next.release();
        }
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      pipelinedRequests.forEach(FullHttpRequest::release);
      pipelinedRequests.clear();
    }

    private static void write(
        ChannelHandlerContext context, ControlResponse response, boolean keepAlive) {
      FullHttpResponse httpResponse =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.valueOf(response.status()),
              Unpooled.wrappedBuffer(response.body()));
      httpResponse.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
      HttpUtil.setContentLength(httpResponse, response.body().length);
      if (response.location() != null
          && context.channel().localAddress() instanceof InetSocketAddress address) {
        httpResponse
            .headers()
            .set(
                HttpHeaderNames.LOCATION,
                "http://" + NetUtil.toSocketAddressString(address) + response.location());
      }
      if (keepAlive) {
        context.writeAndFlush(httpResponse).addListener(EventLoops.REPORT_ERROR);
      } else {
        httpResponse.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        context
            .writeAndFlush(httpResponse)
            .addListener(EventLoops.REPORT_ERROR)
            .addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      FatalErrors.report(cause);
      context.close();
    }
  }
}
