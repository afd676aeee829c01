package org.curranthaven.internal.clients;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.RecvByteBufAllocator;
import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.supervision.FatalErrors;
import org.curranthaven.internal.supervision.LineLimit;
import org.tinylog.Logger;

/**
 * First handler of a client's connection: opens and closes its account, and decides when the
 * connection is read. Confined to the event loop.
 */
public final class ClientChannel extends ChannelDuplexHandler implements Client {
  private static final int MIN_READ_BYTES = 64;
  private static final int INITIAL_READ_BYTES = 2_048;

  /** Most bytes that a connection decodes before others have their turn. */
  private static final int MAX_READ_BYTES = 16 * 1024;

  /** Header lines, chunks and messages in one read beyond which it was costly. */
  private static final int COSTLY_PARTS = 512;

  private static final long STALLED_CHECK_MILLIS = 250;

  private final ClientConnections connections;
  private final ReadTurns turns;
  private final LineLimit lines;
  private final Door door;
  private final Clock clock;
  private final Channel channel;
  private final ClientConnections.Account account;
  private final Set<Pause> pauses = EnumSet.noneOf(Pause.class);
  private int decodedParts;

  /** Why a connection is not read. */
  enum Pause {
    /** It was costly, and waits for its turn. */
    TURN,
    /** Its body waits for memory. */
    BODY_MEMORY,
    /** Much is received behind the request in progress. */
    BEHIND
  }

  /** What the connections of a host share; lines bounds what is logged about them. */
  public record Shared(
      ClientConnections connections, ReadTurns turns, Clock clock, LineLimit lines) {
    private static final int LINES_PER_SECOND = 10;
    private static final long SECOND_MILLIS = 1_000;

    /** Creates the shared parts of a host. */
    public Shared(ClientConnections connections, ReadTurns turns, Clock clock) {
      this(connections, turns, clock, new LineLimit(LINES_PER_SECOND, SECOND_MILLIS));
    }
  }

  /** Opens the account of an accepted connection, which may close it or another one. */
  public ClientChannel(Shared shared, Door door, Channel channel) {
    this.connections = shared.connections();
    this.turns = shared.turns();
    this.lines = shared.lines();
    this.door = door;
    this.clock = shared.clock();
    this.channel = channel;
    this.account = connections.open(door, this, nowMillis());
    Runnable release = FatalErrors.guard(this::release);
    channel.closeFuture().addListener(closed -> release.run());
  }

  /** Returns the option that bounds what a connection decodes before others have their turn. */
  public static RecvByteBufAllocator readSizes() {
    return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
        .maxMessagesPerRead(1);
  }

  /** Returns what the connection holds. */
  public ClientConnections.Account account() {
    return account;
  }

  long nowMillis() {
    return clock.nowMillis();
  }

  /** Stops reading, or goes on unless there is another reason not to. */
  void pause(Pause reason, boolean paused) {
    if (paused ? pauses.add(reason) : pauses.remove(reason)) {
      account.read(pauses.isEmpty(), nowMillis());
      channel.config().setAutoRead(pauses.isEmpty());
    }
  }

  /** Stops reading while a body waits for memory, which bodies that stall give up for it. */
  void awaitBodyMemory(boolean waiting) {
    pause(Pause.BODY_MEMORY, waiting);
    if (waiting) {
      closeStalled();
    }
  }

  private void closeStalled() {
    if (pauses.contains(Pause.BODY_MEMORY) && channel.isOpen()) {
      connections.closeStalled(nowMillis());
      channel.eventLoop().schedule(this::closeStalled, STALLED_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void release() {
    account.close();
    turns.remove(this);
  }

  /** Counts header lines, chunks or messages that were decoded. */
  void countDecoded(int parts) {
    decodedParts += parts;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    account.received(nowMillis());
    decodedParts = 0;
    context.fireChannelRead(message);
    if (decodedParts > COSTLY_PARTS) {
      turns.await(this);
    }
  }

  /** A decoder asks for more by itself, also with automatic reading off. */
  @Override
  public void read(ChannelHandlerContext context) {
    if (pauses.isEmpty()) {
      context.read();
    }
  }

  @Override
  public void close(CloseReason reason) {
    if (lines.mayWrite(nowMillis())) {
      Logger.info(
          "connection of {} at the address of {} closed for others: {}; {} bytes held, {} lines omitted",
          channel.remoteAddress(),
          door,
          reason,
          connections.heldBytes(),
          lines.takeOmitted());
    }
    channel.close();
  }
}
