package org.curranthaven.internal.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.curranthaven.internal.settings.Addresses;
import org.curranthaven.internal.supervision.Clock;
import org.jspecify.annotations.Nullable;

/** Connections to backend servers that wait for their next call. Used on the event loop only. */
final class BackendPool {
  private static final int CONNECT_TIMEOUT_MILLIS = 400;

  /** Time before a backend server's own limit at which an idle connection is given up. */
  private static final long IDLE_MARGIN_MILLIS = 700;

  /** Idle time allowed where a backend server names no limit. */
  private static final long DEFAULT_IDLE_MILLIS = 300;

  private final EventLoop loop;
  private final Clock clock;
  private final WireProtocol protocol;
  private final Map<String, ArrayDeque<BackendConnection>> idleConnections = new HashMap<>();
  private long connectionsOpened;

  BackendPool(EventLoop loop, Clock clock, WireProtocol protocol) {
    this.loop = loop;
    this.clock = clock;
    this.protocol = protocol;
  }

  WireProtocol protocol() {
    return protocol;
  }

  /** Returns the number of connections opened so far. */
  long connectionsOpened() {
    return connectionsOpened;
  }

  /**
   * Passes a connection to the consumer, or null if none can be made.
   *
   * @param maxIdleMillis longest time for which the connection may have been idle: one that was
   *     idle for longer may be gone without a sign
   */
  void acquire(String address, long maxIdleMillis, Consumer<@Nullable BackendConnection> consumer) {
    ArrayDeque<BackendConnection> connections = idleConnections.get(address);
    while (connections != null && !connections.isEmpty()) {
      BackendConnection connection = connections.pollLast();
      if (connection.isUsable(clock.nowMillis(), maxIdleMillis)) {
        consumer.accept(connection);
        return;
      }
      connection.close();
    }
    connect(address, consumer);
  }

  private void connect(String address, Consumer<@Nullable BackendConnection> consumer) {
    connectionsOpened++;
    BackendConnection connection = new BackendConnection(this, address);
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(new HttpResponseDecoder(), new HttpRequestEncoder(), connection);
              }
            })
        .connect(Addresses.parse(address))
        .addListener(future -> consumer.accept(future.isSuccess() ? connection : null));
  }

  long idleUntilMillis(ResponseHead answer) {
    long limit = answer.keepAliveMillis();
    long idleMillis =
        limit == 0 ? DEFAULT_IDLE_MILLIS : Math.max(limit / 2, limit - IDLE_MARGIN_MILLIS);
    return clock.nowMillis() + idleMillis;
  }

  long nowMillis() {
    return clock.nowMillis();
  }

  void release(BackendConnection connection) {
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

  /** Closes idle connections to addresses that no backend server has any more. */
  void retain(Set<String> addresses) {
    Iterator<Map.Entry<String, ArrayDeque<BackendConnection>>> entries =
        idleConnections.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<String, ArrayDeque<BackendConnection>> entry = entries.next();
      if (!addresses.contains(entry.getKey())) {
        entries.remove();
        java.util.List.copyOf(entry.getValue()).forEach(BackendConnection::close);
      }
    }
  }
}
