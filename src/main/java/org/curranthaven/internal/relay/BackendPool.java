package org.curranthaven.internal.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.curranthaven.internal.clients.ClientChannel;
import org.curranthaven.internal.settings.Addresses;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.EventLoops;
import org.curranthaven.internal.transport.ReportingInitializer;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/** Pool of idle connections to backend servers. Confined to the event loop. */
final class BackendPool {
  private static final int CONNECT_TIMEOUT_MILLIS = 400;

  /**
   * Time before a backend server's own idle timeout at which an idle connection is no longer
   * reused.
   */
  private static final long IDLE_MARGIN_MILLIS = 700;

  /** Longest idle time of a connection whose backend server states no idle timeout. */
  private static final long DEFAULT_IDLE_MILLIS = 300;

  /** Time for which the connection of a probe must stay open to show that its host runs. */
  private static final long PROBE_CONFIRMATION_MILLIS = 10;

  /** Connections that one probe opens at most. */
  private static final int PROBE_CONNECTIONS = 3;

  /** Address at which nobody listens. */
  private static final String NO_LISTENER = "127.0.0.1:1";

  private final EventLoop loop;
  private final Clock clock;
  private final WireProtocol protocol;
  private final Map<String, ArrayDeque<BackendConnection>> idleConnections = new HashMap<>();
  private final StrayResponseLog strayResponses;
  private final ReusePauses reusePauses = new ReusePauses();
  private long connectionsOpened;
  private int maxConnections = Integer.MAX_VALUE;
  private int openConnections;
  private boolean partitioned;
  private final BackendReach reach = new BackendReach();

  /** Creates a pool that counts no responses. */
  BackendPool(EventLoop loop, Clock clock, WireProtocol protocol) {
    this(loop, clock, protocol, new StrayResponseLog(reason -> {}));
  }

  BackendPool(EventLoop loop, Clock clock, WireProtocol protocol, StrayResponseLog strayResponses) {
    this.loop = loop;
    this.clock = clock;
    this.protocol = protocol;
    this.strayResponses = strayResponses;
  }

  /**
   * Records a response that is not accepted.
   *
   * @param maybeLateCopy whether it may belong to an earlier request on its connection
   */
  void recordStray(StrayResponse response, boolean maybeLateCopy) {
    long nowMillis = clock.nowMillis();
    strayResponses.record(response, nowMillis);
    if (maybeLateCopy) {
      reusePauses.recordStray(response.address(), nowMillis);
    }
  }

  WireProtocol protocol() {
    return protocol;
  }

  /** Limits the connections; beyond it those that have been idle for longest are closed. */
  void limitConnections(int newMaxConnections) {
    maxConnections = newMaxConnections;
  }

  /** Closes all idle connections and refuses new ones, or ends this; for failure tests. */
  void setPartitioned(boolean isPartitioned) {
    partitioned = isPartitioned;
    retain(Set.of());
  }

  /** Returns the number of connection attempts so far. */
  long connectionsOpened() {
    return connectionsOpened;
  }

  /**
   * Passes an idle or new connection to the consumer, or null if the connection fails.
   *
   * @param requestId id of the request to be sent; empty for none
   * @param maxIdleMillis longest time for which the connection may have been idle; one that was
   *     idle for longer may be closed without this side having been notified
   */
  void acquire(
      String address,
      String requestId,
      long maxIdleMillis,
      Consumer<@Nullable BackendConnection> consumer) {
    BackendConnection idle = takeIdle(address, requestId, maxIdleMillis);
    if (idle == null) {
      connect(address, consumer);
    } else {
      consumer.accept(idle);
    }
  }

  private @Nullable BackendConnection takeIdle(
      String address, String requestId, long maxIdleMillis) {
    ArrayDeque<BackendConnection> connections = idleConnections.get(address);
    if (connections == null) {
      return null;
    }
    for (BackendConnection connection : List.copyOf(connections.reversed())) {
      if (isReusePaused(connection) || !connection.isUsable(clock.nowMillis(), maxIdleMillis)) {
        connections.remove(connection);
        connection.close();
      } else if (connection.mayCarry(requestId)) {
        connections.remove(connection);
        return connection;
      }
    }
    return null;
  }

  /**
   * Opens a connection and passes on whether the host at the address refuses connections. One that
   * stays open goes to the pool.
   */
  void probe(String address, Consumer<Boolean> refusedConsumer) {
    probe(address, PROBE_CONNECTIONS, refusedConsumer);
  }

  private void probe(String address, int connectionsLeft, Consumer<Boolean> refusedConsumer) {
    BackendConnection connection = new BackendConnection(this, address);
    connect(address, connection)
        .addListener(
            EventLoops.guard(
                future -> {
                  if (!future.isSuccess()) {
                    refusedConsumer.accept(
                        ConnectFailure.of(future.cause()) == ConnectFailure.REFUSED);
                    return;
                  }
                  loop.schedule(
                      () -> confirmOpen(connection, connectionsLeft, refusedConsumer),
                      PROBE_CONFIRMATION_MILLIS,
                      TimeUnit.MILLISECONDS);
                }));
  }

  /** A process that ends may accept connections for a moment after it has closed others. */
  private void confirmOpen(
      BackendConnection connection, int connectionsLeft, Consumer<Boolean> refusedConsumer) {
    if (!connection.isOpen() && connectionsLeft > 1) {
      probe(connection.address(), connectionsLeft - 1, refusedConsumer);
      return;
    }
    if (connection.isOpen()) {
      offerUnused(connection);
    }
    refusedConsumer.accept(false);
  }

  /** Makes a new connection that has carried no request available to other requests. */
  void offerUnused(BackendConnection connection) {
    long nowMillis = clock.nowMillis();
    connection.offerUnused(nowMillis, nowMillis + DEFAULT_IDLE_MILLIS);
  }

  /** Passes a new connection to the consumer, or null if the connection fails. */
  void connect(String address, Consumer<@Nullable BackendConnection> consumer) {
    open(address, (connection, failure) -> consumer.accept(connection));
  }

  /** Receives a new connection, or why there is none. */
  interface ConnectionConsumer {
    void accept(@Nullable BackendConnection connection, @Nullable ConnectFailure failure);
  }

  /** Opens a connection that carries no other request. */
  void open(String address, ConnectionConsumer consumer) {
    BackendConnection connection = new BackendConnection(this, address);
    connect(address, connection)
        .addListener(
            EventLoops.guard(
                future ->
                    consumer.accept(
                        future.isSuccess() ? connection : null,
                        future.isSuccess() ? null : ConnectFailure.of(future.cause()))));
  }

  private ChannelFuture connect(String address, BackendConnection connection) {
    connectionsOpened++;
    openConnections++;
    if (openConnections > maxConnections) {
      closeLongestIdle();
    }
    ChannelFuture connected =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            // The end of the input is then told from a close by this side or after a failed write.
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.RECVBUF_ALLOCATOR, ClientChannel.readSizes())
            .handler(
                new ReportingInitializer() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(connection.handlers());
                  }
                })
            .connect(Addresses.parse(partitioned ? NO_LISTENER : address));
    connected.addListener(EventLoops.guard(future -> recordReach(future, address)));
    connected.channel().closeFuture().addListener(EventLoops.guard(closed -> openConnections--));
    return connected;
  }

  /** Returns whether any backend server is reached, as the connections of this pool show. */
  BackendReach reach() {
    return reach;
  }

  private void recordReach(Future<? super Void> connected, String address) {
    if (connected.isSuccess()) {
      recordReached();
      return;
    }
    boolean before = reach.isPartitioned();
    reach.recordFailure(address);
    if (!before && reach.isPartitioned()) {
      Logger.warn("no backend server is reached: {} failed last; other gateways serve", address);
    }
  }

  /** Records that a backend server accepted a connection or sent a response. */
  void recordReached() {
    if (reach.isPartitioned()) {
      Logger.info("backend servers are reached again");
    }
    reach.recordReached();
  }

  private void closeLongestIdle() {
    idleConnections.values().stream()
        .flatMap(ArrayDeque::stream)
        .min(Comparator.comparingLong(BackendConnection::idleSinceMillis))
        .ifPresent(
            connection -> {
              onClosed(connection);
              connection.close();
            });
  }

  /**
   * Returns the time until which the connection may be reused after the response: some time before
   * the backend server's own idle timeout, but at least half of it.
   */
  long idleUntilMillis(ResponseHead responseHead) {
    long keepAliveMillis = responseHead.keepAliveMillis();
    long idleMillis =
        keepAliveMillis == 0
            ? DEFAULT_IDLE_MILLIS
            : Math.max(keepAliveMillis / 2, keepAliveMillis - IDLE_MARGIN_MILLIS);
    return clock.nowMillis() + idleMillis;
  }

  long nowMillis() {
    return clock.nowMillis();
  }

  private boolean isReusePaused(BackendConnection connection) {
    return connection.hasCarriedRequests()
        && !reusePauses.mayReuse(connection.address(), clock.nowMillis());
  }

  /** Keeps a connection that carries no request, unless none is to be used again. */
  void release(BackendConnection connection) {
    if (isReusePaused(connection)) {
      connection.close();
      return;
    }
    idleConnections
        .computeIfAbsent(connection.address(), address -> new ArrayDeque<>())
        .addLast(connection);
  }

  void onClosed(BackendConnection connection) {
    ArrayDeque<BackendConnection> connections = idleConnections.get(connection.address());
    if (connections != null) {
      connections.remove(connection);
    }
  }

  /** Closes the idle connections to all addresses but the given ones. */
  void retain(Set<String> addresses) {
    reusePauses.retain(addresses);
    Iterator<Map.Entry<String, ArrayDeque<BackendConnection>>> entries =
        idleConnections.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<String, ArrayDeque<BackendConnection>> entry = entries.next();
      if (!addresses.contains(entry.getKey())) {
        entries.remove();
        List.copyOf(entry.getValue()).forEach(BackendConnection::close);
      }
    }
  }
}
