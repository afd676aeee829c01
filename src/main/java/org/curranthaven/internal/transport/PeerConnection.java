package org.curranthaven.internal.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.Objects;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.curranthaven.internal.clients.ClientConnections;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.supervision.FatalErrors;
import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.Hello;
import org.curranthaven.internal.transport.wire.HostRecord;
import org.curranthaven.internal.transport.wire.Ping;
import org.jspecify.annotations.Nullable;

/**
 * Channel handler of one connection to another host: sends the hello and the pings, and forwards
 * messages to the {@link PeerNetwork}.
 */
final class PeerConnection extends SimpleChannelInboundHandler<Envelope> {
  /** Age of the last message below which it serves as a ping. */
  private static final long MIN_WRITE_AGE_MILLIS = PeerNetwork.PING_INTERVAL_MILLIS / 2;

  private final PeerNetwork network;
  private final String dialledAddress;
  private volatile @Nullable Channel channel;
  private volatile @Nullable HostRecord remote;
  private volatile @Nullable ScheduledFuture<?> pingTask;
  private volatile long lastWriteMillis = Long.MIN_VALUE / 2;
  private final ClientConnections.@Nullable Account account;
  private long lastPingNonce;

  /**
   * Creates the handler.
   *
   * @param dialledAddress empty for an accepted connection
   * @param account account of an accepted connection; null for a dialled one
   */
  PeerConnection(
      PeerNetwork network, String dialledAddress, ClientConnections.@Nullable Account account) {
    super(Envelope.class);
    this.network = network;
    this.dialledAddress = dialledAddress;
    this.account = account;
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
      lastWriteMillis = nowMillis();
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
                millisToNextPing(nowMillis()),
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

  /**
   * Returns the time to the next common ping time. The connections of a process ping together, so
   * that an idle process wakes up once for all of them.
   */
  static long millisToNextPing(long nowMillis) {
    return PeerNetwork.PING_INTERVAL_MILLIS
        - Math.floorMod(nowMillis, PeerNetwork.PING_INTERVAL_MILLIS);
  }

  private static long nowMillis() {
    return Clock.system().nowMillis();
  }

  private void sendPing() {
    boolean recentlyWritten = nowMillis() - lastWriteMillis < MIN_WRITE_AGE_MILLIS;
    if (isActive() && !recentlyWritten) {
      write(Envelope.newBuilder().setPing(Ping.newBuilder().setNonce(++lastPingNonce)).build());
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Envelope message) {
    switch (message.getPayloadCase()) {
      case HELLO -> {
        remote = message.getHello().getHost();
        if (account != null) {
          account.idle(nowMillis());
        }
        if (!network.register(this)) {
          context.close();
        }
      }
      case PING, PONG -> {
        // Its arrival is what counts; the other host sends pings of its own.
      }
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
    FatalErrors.report(cause);
    context.close();
  }
}
