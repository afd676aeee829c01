package org.curranthaven.internal.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.Objects;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.Hello;
import org.curranthaven.internal.transport.wire.HostRecord;
import org.curranthaven.internal.transport.wire.Ping;
import org.curranthaven.internal.transport.wire.Pong;
import org.jspecify.annotations.Nullable;

/**
 * Channel handler of one connection to another host: sends the hello and the pings, and forwards
 * messages to the {@link PeerNetwork}.
 */
final class PeerConnection extends SimpleChannelInboundHandler<Envelope> {
  private final PeerNetwork network;
  private final String dialledAddress;
  private volatile @Nullable Channel channel;
  private volatile @Nullable HostRecord remote;
  private volatile @Nullable ScheduledFuture<?> pingTask;
  private long lastPingNonce;

  /** Creates the handler; {@code dialledAddress} is empty for an accepted connection. */
  PeerConnection(PeerNetwork network, String dialledAddress) {
    super(Envelope.class);
    this.network = network;
    this.dialledAddress = dialledAddress;
  }

  boolean isDialled() {
    return !dialledAddress.isEmpty();
  }

  String dialledAddress() {
    return dialledAddress;
  }

  HostRecord remote() {
    return Objects.requireNonNull(remote);
  }

  @Nullable HostRecord remoteOrNull() {
    return remote;
  }

  boolean isActive() {
    Channel current = channel;
    return current != null && current.isActive();
  }

  boolean isWritable() {
    Channel current = channel;
    return current != null && current.isWritable();
  }

  void write(Envelope message) {
    Channel current = channel;
    if (current != null) {
      current.writeAndFlush(message, current.voidPromise());
    }
  }

  void close() {
    Channel current = channel;
    if (current != null) {
      current.close();
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    channel = context.channel();
    sendHello();
    pingTask =
        context
            .executor()
            .scheduleAtFixedRate(
                this::sendPing,
                PeerNetwork.PING_INTERVAL_MILLIS,
                PeerNetwork.PING_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
  }

  private void sendHello() {
    HostRecord own = network.self();
    write(
        Envelope.newBuilder()
            .setFromHost(own.getName())
            .setFromIdentity(own.getIdentity())
            .setHello(Hello.newBuilder().setHost(own).setFormed(own.getFormed()))
            .build());
  }

  private void sendPing() {
    if (isActive()) {
      write(Envelope.newBuilder().setPing(Ping.newBuilder().setNonce(++lastPingNonce)).build());
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Envelope message) {
    switch (message.getPayloadCase()) {
      case HELLO -> {
        remote = message.getHello().getHost();
        if (!network.register(this)) {
          context.close();
        }
      }
      case PING ->
          write(
              Envelope.newBuilder()
                  .setPong(Pong.newBuilder().setNonce(message.getPing().getNonce()))
                  .build());
      case PONG -> {}
      default -> network.received(this, message);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    ScheduledFuture<?> currentPingTask = pingTask;
    if (currentPingTask != null) {
      currentPingTask.cancel(false);
    }
    network.unregister(this);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
