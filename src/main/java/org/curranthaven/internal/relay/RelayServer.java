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
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.curranthaven.internal.clients.ClientChannel;
import org.curranthaven.internal.clients.ClientLink;
import org.curranthaven.internal.clients.Door;
import org.curranthaven.internal.supervision.FatalErrors;
import org.curranthaven.internal.transport.EventLoops;
import org.curranthaven.internal.transport.ReportingInitializer;
import org.jspecify.annotations.Nullable;

/**
 * Listens for callers and for the readiness checks of load balancers. Connections are handled on
 * the event loop.
 */
final class RelayServer {
  /** Limit on the head of a readiness check. */
  private static final int MAX_CHECK_HEAD_BYTES = 16_384;

  private static final int BACKLOG = 1_024;
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int UNAVAILABLE = 503;

  private final EventLoopGroup group;
  private final RelayContext context;
  private final ClientChannel.Shared clients;
  private final Set<CallerConnection> connections = new HashSet<>();
  private volatile @Nullable Channel callerListener;

  RelayServer(EventLoopGroup group, RelayContext context, ClientChannel.Shared clients) {
    this.group = group;
    this.context = context;
    this.clients = clients;
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
    ClientLink client =
        ClientLink.add(
            clients, Door.CALLERS, channel, () -> context.catalog().limits().maxHeaderBytes());
    CallerConnection connection = new CallerConnection(context, client);
    connections.add(connection);
    channel.closeFuture().addListener(EventLoops.guard(closed -> connections.remove(connection)));
    channel
        .pipeline()
        .addFirst(new ByteArrivalHandler(connection))
        .addLast(new HttpResponseEncoder(), connection);
  }

  void listenForReadinessChecks(InetSocketAddress address, BooleanSupplier ready)
      throws InterruptedException {
    listen(
        address,
        new ReportingInitializer() {
          @Override
          protected void initChannel(Channel channel) {
            ClientLink client =
                ClientLink.add(clients, Door.READINESS, channel, () -> MAX_CHECK_HEAD_BYTES);
            channel
                .pipeline()
                .addLast(new HttpResponseEncoder(), new ReadinessHandler(ready, client));
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
        .childOption(ChannelOption.RECVBUF_ALLOCATOR, ClientChannel.readSizes())
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
    private final ClientLink client;
    private boolean responded;

    ReadinessHandler(BooleanSupplier ready, ClientLink client) {
      this.ready = ready;
      this.client = client;
    }

    @Override
    public void channelRead(ChannelHandlerContext channel, Object message) {
      boolean refused = ((HttpObject) message).decoderResult().isFailure();
      if (refused || message instanceof LastHttpContent) {
        respond(channel, refused);
      }
      ReferenceCountUtil.release(message);
    }

    private void respond(ChannelHandlerContext channel, boolean refused) {
      int status = refused ? BAD_REQUEST : ready.getAsBoolean() ? OK : UNAVAILABLE;
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.EMPTY_BUFFER);
      response.headers().set("Content-Length", 0);
      if (refused || context.isDraining()) {
        response.headers().set("Connection", "close");
      }
      client.admit();
      channel
          .writeAndFlush(response)
          .addListener(EventLoops.REPORT_ERROR)
          .addListener(
              refused ? ChannelFutureListener.CLOSE : ChannelFutureListener.CLOSE_ON_FAILURE);
      responded = true;
      proceedIfWritable(channel);
    }

    /** Reads the next check once the client has taken most of the responses before it. */
    private void proceedIfWritable(ChannelHandlerContext channel) {
      if (responded && channel.channel().isWritable()) {
        responded = false;
        client.proceed();
      }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext channel) {
      proceedIfWritable(channel);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext channel, Throwable cause) {
      FatalErrors.report(cause);
      channel.close();
    }
  }
}
