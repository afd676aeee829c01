package org.curranthaven.internal.transport;

import com.google.protobuf.CodedOutputStream;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import java.io.IOException;
import java.io.UncheckedIOException;
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

  /** Most bytes of the length of a frame. */
  private static final int MAX_LENGTH_BYTES = 5;

  private final PeerNetwork network;
  private final String dialledAddress;
  private volatile @Nullable Channel channel;
  private volatile @Nullable HostRecord remote;
  private volatile @Nullable ScheduledFuture<?> pingTask;
  private volatile long lastWriteMillis = Long.MIN_VALUE / 2;
  private final ClientConnections.@Nullable Account account;
  private long lastPingNonce;

  /** Confined to the event loop. */
  private boolean writesSharedMessage;

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

  /** Writes a large message; returns false if the connections have too much to write already. */
  boolean writeLarge(Envelope message, UnwrittenBytes unwritten) {
    Channel current = channel;
    long bytes = message.getSerializedSize();
    if (current == null || !unwritten.reserve(bytes)) {
      return false;
    }
    lastWriteMillis = nowMillis();
    current
        .writeAndFlush(message)
        .addListener(written -> unwritten.release(bytes))
        .addListener(EventLoops.REPORT_ERROR);
    return true;
  }

  /**
   * Writes a message of which one part is shared. Returns false if the connection still has such a
   * part to write, or the connections have too much to write already.
   *
   * @param onWritten called when the message was written; not if the connection ends before
   */
  boolean write(
      Envelope message, SharedMessage shared, UnwrittenBytes unwritten, Runnable onWritten) {
    Channel current = channel;
    if (current == null || writesSharedMessage) {
      return false;
    }
    ByteBuf end = shared.acquire(current.alloc(), unwritten);
    if (end == null) {
      return false;
    }
    writesSharedMessage = true;
    lastWriteMillis = nowMillis();
    // Past the encoders, which would copy it; fields that follow add to a message.
    ChannelHandlerContext framed =
        current.pipeline().context(ProtobufVarint32LengthFieldPrepender.class);
    framed.write(startOfFrame(current, message, end.readableBytes()), current.voidPromise());
    framed
        .writeAndFlush(end)
        .addListener(
            EventLoops.guard(
                written -> {
                  writesSharedMessage = false;
                  shared.written(unwritten);
                  if (written.isSuccess()) {
                    onWritten.run();
                  }
                }))
        .addListener(EventLoops.REPORT_ERROR);
    return true;
  }

  /** Returns the length of a frame and the message at its start. */
  private static ByteBuf startOfFrame(Channel channel, Envelope message, int bytesBehind) {
    int frameBytes = message.getSerializedSize() + bytesBehind;
    ByteBuf start = channel.alloc().directBuffer(MAX_LENGTH_BYTES + message.getSerializedSize());
    try (ByteBufOutputStream out = new ByteBufOutputStream(start)) {
      CodedOutputStream coded = CodedOutputStream.newInstance(out);
      coded.writeUInt32NoTag(frameBytes);
      message.writeTo(coded);
      coded.flush();
      return start;
    } catch (IOException e) {
      start.release();
      throw new UncheckedIOException(e);
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
