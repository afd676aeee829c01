package org.curranthaven.internal.scheduler;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.curranthaven.internal.clients.ClientChannel;
import org.curranthaven.internal.clients.ClientLink;
import org.curranthaven.internal.clients.Door;
import org.curranthaven.internal.clients.MemoryInUseException;
import org.curranthaven.internal.relay.ControlRequest;
import org.curranthaven.internal.relay.IncomingBody;
import org.curranthaven.internal.relay.WireProtocol;
import org.curranthaven.internal.supervision.FatalErrors;
import org.curranthaven.internal.transport.EventLoops;
import org.curranthaven.internal.transport.ReportingInitializer;
import org.curranthaven.internal.transport.UnwrittenBytes;
import org.jspecify.annotations.Nullable;

/** HTTP server for control requests from backend servers and operators. */
final class ControlServer {
  private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;
  private static final int READ_TIMEOUT_SECONDS = 30;

  private static final int MAX_HEAD_BYTES = 16_384;

  private final EventLoopGroup eventLoopGroup;
  private final ClientChannel.Shared clients;
  private final WireProtocol protocol;
  private final BiConsumer<ControlRequest, Consumer<ControlResponse>> handler;
  private final UnwrittenBytes unwritten;

  /**
   * Creates a server that does not listen yet.
   *
   * @param maxUnwrittenBytes bound on the responses that clients have not read
   */
  ControlServer(
      EventLoopGroup group,
      ClientChannel.Shared clients,
      WireProtocol protocol,
      BiConsumer<ControlRequest, Consumer<ControlResponse>> handler,
      long maxUnwrittenBytes) {
    this.unwritten = new UnwrittenBytes(maxUnwrittenBytes);
    this.eventLoopGroup = group;
    this.clients = clients;
    this.protocol = protocol;
    this.handler = handler;
  }

  void bind(InetSocketAddress address) throws InterruptedException {
    new ServerBootstrap()
        .group(eventLoopGroup)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.RECVBUF_ALLOCATOR, ClientChannel.readSizes())
        .handler(ReportingInitializer.forListener())
        .childHandler(
            new ReportingInitializer() {
              @Override
              protected void initChannel(Channel channel) {
                ClientLink client =
                    ClientLink.add(clients, Door.CONTROL, channel, () -> MAX_HEAD_BYTES);
                channel
                    .pipeline()
                    .addFirst(new ReadTimeoutHandler(READ_TIMEOUT_SECONDS))
                    .addLast(new HttpResponseEncoder())
                    .addLast(new RequestHandler(client));
              }
            })
        .bind(address)
        .sync();
  }

  /** Handles the requests of one connection, one after the other. */
  private final class RequestHandler extends SimpleChannelInboundHandler<HttpObject> {
    private final ClientLink client;
    private @Nullable HttpRequest head;
    private @Nullable IncomingBody body;

    /** Whether the response before is to be read by the client before its next request starts. */
    private boolean awaitingReader;

    private boolean refused;

    RequestHandler(ClientLink client) {
      super(HttpObject.class);
      this.client = client;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
      if (refused) {
        return;
      }
      if (part.decoderResult().isFailure()) {
        refuse(context, refusalOf(part.decoderResult().cause()));
        return;
      }
      if (part instanceof HttpRequest request) {
        head = request;
        body = new IncomingBody(request, MAX_BODY_BYTES);
        if (HttpUtil.is100ContinueExpected(request) && !body.isTooLarge(0)) {
          context.writeAndFlush(
              new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
      }
      if (part instanceof HttpContent content) {
        receive(context, content);
      }
    }

    private static ControlResponse refusalOf(Throwable cause) {
      return cause instanceof MemoryInUseException
          ? memoryInUse()
          : ControlResponse.error(
              400, "malformed HTTP request; correct the request and send it again");
    }

    private static ControlResponse memoryInUse() {
      return ControlResponse.error(
          503, "all memory for control requests is in use; send the request again");
    }

    private void receive(ChannelHandlerContext context, HttpContent content) {
      HttpRequest request = head;
      IncomingBody incoming = body;
      if (request == null || incoming == null) {
        return;
      }
      if (incoming.isTooLarge(content.content().readableBytes())) {
        refuse(
            context, ControlResponse.error(413, "the body exceeds " + MAX_BODY_BYTES + " bytes"));
        return;
      }
      incoming.add(content.content());
      if (!client.holdBody(incoming.unreservedBytes())) {
        refuse(context, memoryInUse());
      } else if (content instanceof LastHttpContent) {
        head = null;
        body = null;
        handle(context, request, incoming.complete());
      }
    }

    private void refuse(ChannelHandlerContext context, ControlResponse response) {
      refused = true;
      body = null;
      client.refused();
      write(context, response, false);
    }

    private void handle(ChannelHandlerContext context, HttpRequest request, byte[] bytes) {
      if (!client.admit()) {
        refuse(context, memoryInUse());
        return;
      }
      boolean keepAlive = HttpUtil.isKeepAlive(request);
      FullHttpRequest fullRequest =
          new DefaultFullHttpRequest(
              request.protocolVersion(),
              request.method(),
              request.uri(),
              Unpooled.wrappedBuffer(bytes),
              request.headers(),
              EmptyHttpHeaders.INSTANCE);
      handler.accept(
          protocol.readControlRequest(fullRequest),
          response -> {
            write(context, response, keepAlive);
            awaitingReader = true;
            proceedIfWritable(context);
          });
    }

    /** Reads the next request once the client has taken most of the responses before it. */
    private void proceedIfWritable(ChannelHandlerContext context) {
      if (awaitingReader && context.channel().isWritable()) {
        awaitingReader = false;
        client.proceed();
      }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
      proceedIfWritable(context);
    }

    /** Writes a response, or a rejection if clients have not read too much of others. */
    private void write(ChannelHandlerContext context, ControlResponse response, boolean keepAlive) {
      int bytes = response.body().length;
      if (unwritten.reserve(bytes)) {
        writeReserved(context, response, keepAlive)
            .addListener(written -> unwritten.release(bytes));
      } else {
        writeReserved(context, memoryInUse(), keepAlive);
      }
    }

    private static ChannelFuture writeReserved(
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
      if (!keepAlive) {
        httpResponse.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      }
      ChannelFuture written =
          context.writeAndFlush(httpResponse).addListener(EventLoops.REPORT_ERROR);
      return keepAlive ? written : written.addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      FatalErrors.report(cause);
      context.close();
    }
  }
}
