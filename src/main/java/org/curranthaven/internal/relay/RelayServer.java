package org.curranthaven.internal.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.curranthaven.internal.supervision.FatalErrors;
import org.curranthaven.internal.transport.EventLoops;
import org.curranthaven.internal.transport.ReportingInitializer;
import org.jspecify.annotations.Nullable;

/**
 * Listens for callers and for the readiness checks of load balancers. Connections are handled on
 * the event loop.
 */
final class RelayServer {
  private static final int MAX_REQUEST_LINE_BYTES = 16_384;
  private static final int MAX_HEADER_BYTES = 65_536;
  private static final int BACKLOG = 1_024;
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final EventLoopGroup group;
  private final RelayContext context;
  private final Set<CallerConnection> connections = new HashSet<>();
  private volatile @Nullable Channel callerListener;

  RelayServer(EventLoopGroup group, RelayContext context) {
    this.group = group;
    this.context = context;
  }

  void listenForCallers(InetSocketAddress address) throws InterruptedException {
    callerListener =
        listen(
            address,
            new ReportingInitializer() {
              @Override
              protected void initChannel(Channel channel) {
                addCaller(channel);
              }
            });
  }

  /** Returns the address at which callers connect; {@link #listenForCallers} must have returned. */
  InetSocketAddress callerAddress() {
    return (InetSocketAddress) Objects.requireNonNull(callerListener).localAddress();
  }

  private void addCaller(Channel channel) {
    CallerConnection connection = new CallerConnection(context);
    connections.add(connection);
    channel.closeFuture().addListener(EventLoops.guard(closed -> connections.remove(connection)));
    channel
        .pipeline()
        .addLast(new ByteArrivalHandler(connection))
        .addLast(new StrictRequestDecoder(), new HttpResponseEncoder(), connection);
  }

  void listenForReadinessChecks(InetSocketAddress address, BooleanSupplier ready)
      throws InterruptedException {
    listen(
        address,
        new ReportingInitializer() {
          @Override
          protected void initChannel(Channel channel) {
            channel
                .pipeline()
                .addLast(
                    new StrictRequestDecoder(),
                    new HttpResponseEncoder(),
                    new ReadinessHandler(ready));
          }
        });
  }

  private Channel listen(InetSocketAddress address, ReportingInitializer initializer)
      throws InterruptedException {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .handler(ReportingInitializer.forListener())
        .childHandler(initializer)
        .bind(address)
        .sync()
        .channel();
  }

  /**
   * Stops accepting connections and closes the idle ones; returns whether no connection of a caller
   * is left, so that nothing is cut off when the process ends.
   */
  boolean closeToCallers() {
    Channel listener = callerListener;
    if (listener != null) {
      listener.close();
    }
    closeIdleConnections();
    return connections.isEmpty();
  }

  /** Returns whether the last response on any connection has not been sent whole. */
  boolean isSending() {
    return connections.stream().anyMatch(CallerConnection::isClosing);
  }

  /** Closes the connections on which no request is being processed or received. */
  void closeIdleConnections() {
    List.copyOf(connections).forEach(CallerConnection::closeIfIdle);
  }

  /**
   * Rejects requests whose framing is ambiguous, which could otherwise be used for request
   * smuggling.
   */
  private static final class StrictRequestDecoder extends HttpRequestDecoder {
    StrictRequestDecoder() {
      super(
          new HttpDecoderConfig()
              .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
              .setMaxHeaderSize(MAX_HEADER_BYTES)
              .setStrictLineParsing(true));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
      throw new IllegalArgumentException(
          "the request declares both Content-Length and chunked transfer encoding; send only one");
    }
  }

  /** Notifies a caller connection of received bytes before they are decoded. */
  private static final class ByteArrivalHandler extends ChannelInboundHandlerAdapter {
    private final CallerConnection connection;

    ByteArrivalHandler(CallerConnection connection) {
      this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      connection.onBytesReceived();
      context.fireChannelRead(message);
    }
  }

  /** Responds to readiness checks. */
  private final class ReadinessHandler extends ChannelInboundHandlerAdapter {
    private final BooleanSupplier ready;

    ReadinessHandler(BooleanSupplier ready) {
      this.ready = ready;
    }

    @Override
    public void channelRead(ChannelHandlerContext channel, Object message) {
      if (message instanceof LastHttpContent) {
        int status = ready.getAsBoolean() ? OK : UNAVAILABLE;
        DefaultFullHttpResponse response =
            new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.EMPTY_BUFFER);
        response.headers().set("Content-Length", 0);
        if (context.isDraining()) {
          response.headers().set("Connection", "close");
        }
        channel
            .writeAndFlush(response)
            .addListener(EventLoops.REPORT_ERROR)
            .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
      }
      io.netty.util.ReferenceCountUtil.release(message);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext channel, Throwable cause) {
      FatalErrors.report(cause);
      channel.close();
    }
  }
}
