package org.curranthaven.internal.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;
import org.curranthaven.internal.clients.ClientChannel;
import org.curranthaven.internal.clients.ClientConnections;
import org.curranthaven.internal.clients.Door;
import org.curranthaven.internal.clients.HostLimits;
import org.curranthaven.internal.clients.ReadTurns;
import org.curranthaven.internal.settings.Addresses;
import org.curranthaven.internal.supervision.Child;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.supervision.LineLimit;
import org.curranthaven.internal.supervision.ProcessLimits;
import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.HostRecord;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * The connections of one host to the other hosts. Each pair of hosts keeps one connection; a
 * connection on which nothing arrives for {@link #READ_TIMEOUT_MILLIS} is closed and dialled again.
 *
 * <p>A message that cannot be sent at once, because there is no connection, its buffer is full, or
 * all connections together have too much to write, is dropped: senders repeat every message that
 * matters. Thread-safe.
 */
public final class PeerNetwork implements Child {
  /** Time without an incoming message after which a connection is closed, in milliseconds. */
  public static final long READ_TIMEOUT_MILLIS = 1_500;

  /** Interval between two pings on a connection, in milliseconds. */
  static final long PING_INTERVAL_MILLIS = 500;

  private static final long DIAL_INTERVAL_MILLIS = 200;

  /** Time between two checks for missing connections while all hosts are connected. */
  private static final long CONNECTED_CHECK_INTERVAL_MILLIS = 1_000;

  /** Time after which a discovered address that is not discovered again is no longer dialled. */
  private static final long DISCOVERED_ADDRESS_TTL_MILLIS = 20_000;

  /**
   * Limits of the bytes buffered while a connection is not writable: a large configuration fits.
   */
  private static final WriteBufferWaterMark WRITE_BUFFER =
      new WriteBufferWaterMark(4 * 1024 * 1024, 16 * 1024 * 1024);

  /** Largest message of another host; as much as the writer of a message may buffer. */
  static final int MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

  /** Bound on the incomplete messages of all accepted connections; one of the largest fits. */
  static final long MAX_INCOMPLETE_BYTES = MAX_MESSAGE_BYTES + 4 * 1024 * 1024;

  /** Messages from this size on count as large; smaller ones are heartbeats and requests. */
  static final int LARGE_MESSAGE_BYTES = 64 * 1024;

  /** Part of the heap, and so of the memory outside it, that unwritten large messages may take. */
  private static final double UNWRITTEN_MEMORY_PART = 0.25;

  private static final long DROPPED_LINE_INTERVAL_MILLIS = 1_000;

  /** Timeout for closing the listening socket; shorter than the supervisor's own timeout. */
  private static final long STOP_TIMEOUT_MILLIS = 2_000;

  private final String listenAddress;
  private final Supplier<HostRecord> self;
  private final PeerListener listener;
  private final @Nullable EventLoopGroup sharedEventLoopGroup;
  private final Set<String> configuredAddresses;
  private final ClientConnections accepted;
  private final Map<String, Long> discoveredAtMillis = new ConcurrentHashMap<>();
  private final Map<String, PeerConnection> connectionsByHost = new ConcurrentHashMap<>();
  private final Set<String> diallingAddresses = ConcurrentHashMap.newKeySet();
  private final ConnectTimeouts connectTimeouts = new ConnectTimeouts();
  private final Semaphore newAddressSignal = new Semaphore(0);
  private final Map<String, String> hostByAddress = new ConcurrentHashMap<>();
  private final Set<String> blockedHosts = ConcurrentHashMap.newKeySet();

  /** Snapshot of the connected hosts; it is read for every message to all of them. */
  private volatile List<HostRecord> connectedHosts = List.of();

  private volatile @Nullable Sender sender;
  private final UnwrittenBytes unwritten =
      new UnwrittenBytes((long) (Runtime.getRuntime().maxMemory() * UNWRITTEN_MEMORY_PART));
  private final LineLimit droppedLines = new LineLimit(1, DROPPED_LINE_INTERVAL_MILLIS);
  private final LongAdder bytesSent = new LongAdder();
  private final LongAdder messagesSent = new LongAdder();

  /** What each message states about this host; it never changes. */
  private record Sender(String name, String identity) {}

  /**
   * Creates the network of a host, with an event loop of its own.
   *
   * @param listenAddress address to listen on, as IP:PORT
   * @param contacts addresses of hosts that are always dialled
   * @param self returns the current description of this host
   */
  public PeerNetwork(
      String listenAddress,
      Collection<String> contacts,
      Supplier<HostRecord> self,
      PeerListener listener) {
    this(
        listenAddress,
        contacts,
        self,
        listener,
        null,
        HostLimits.control(ProcessLimits.descriptors()).peers());
  }

  /**
   * Creates the network of a host whose other components run on the same event loop.
   *
   * @param sharedEventLoopGroup event loops to run on; null to create its own
   * @param maxAccepted most connections that are accepted from other hosts
   */
  public PeerNetwork(
      String listenAddress,
      Collection<String> contacts,
      Supplier<HostRecord> self,
      PeerListener listener,
      @Nullable EventLoopGroup sharedEventLoopGroup,
      int maxAccepted) {
    this.listenAddress = listenAddress;
    this.self = self;
    this.listener = listener;
    this.sharedEventLoopGroup = sharedEventLoopGroup;
    this.configuredAddresses = Set.copyOf(contacts);
    this.accepted = ClientConnections.of(Map.of(Door.PEERS, maxAccepted), MAX_INCOMPLETE_BYTES);
  }

  /**
   * Adds or renews the address of a discovered host; it expires unless it is renewed. One that is
   * not an address is ignored: the thread that dials would end.
   */
  public void addDiscoveredAddress(String peerAddress) {
    if (!isAddress(peerAddress)) {
      return;
    }
    if (discoveredAtMillis.put(peerAddress, Clock.system().nowMillis()) == null) {
      newAddressSignal.release();
    }
  }

  private static boolean isAddress(String peerAddress) {
    try {
      Addresses.parse(peerAddress);
      return true;
    } catch (IllegalArgumentException e) {
      Logger.warn("address of a host ignored: {}", e.getMessage());
      return false;
    }
  }

  /** Returns the name of this host. */
  public String selfName() {
    return sender().name();
  }

  private Sender sender() {
    Sender known = sender;
    if (known == null) {
      HostRecord own = self.get();
      known = new Sender(own.getName(), own.getIdentity());
      sender = known;
    }
    return known;
  }

  /** Returns the hosts to which a connection is established. */
  public List<HostRecord> connectedHosts() {
    return connectedHosts;
  }

  private synchronized void updateConnectedHosts() {
    connectedHosts = connectionsByHost.values().stream().map(PeerConnection::remote).toList();
  }

  /**
   * Sends a message to the named host; returns whether it was handed to a connection rather than
   * dropped. A message to this host itself is delivered to the listener at once.
   */
  public boolean send(String host, Envelope.Builder message) {
    if (host.equals(selfName())) {
      listener.received(self.get(), withSender(message));
      return true;
    }
    PeerConnection connection = connectionsByHost.get(host);
    if (connection == null || blockedHosts.contains(host) || !connection.isWritable()) {
      return false;
    }
    Envelope envelope = withSender(message);
    int bytes = envelope.getSerializedSize();
    if (bytes < LARGE_MESSAGE_BYTES) {
      connection.write(envelope);
    } else if (!connection.writeLarge(envelope, unwritten)) {
      logDropped(host, bytes, Clock.system().nowMillis());
      return false;
    }
    recordSent(bytes);
    return true;
  }

  private synchronized void logDropped(String host, int bytes, long nowMillis) {
    if (droppedLines.mayWrite(nowMillis)) {
      Logger.warn(
          "message of {} bytes to host {} dropped: {} bytes of large messages are unwritten;"
              + " {} dropped since the start",
          bytes,
          host,
          unwritten.reservedBytes(),
          unwritten.refusals());
    }
  }

  private void recordSent(long bytes) {
    messagesSent.increment();
    bytesSent.add(bytes);
  }

  /**
   * Sends a message whose other fields are in a shared one; returns whether it was handed to a
   * connection. It is dropped, too, while the connection still has a shared message to write.
   * Confined to the event loop.
   *
   * @param onWritten called when the message was written; not if its connection ends before
   */
  public boolean send(
      String host, Envelope.Builder message, SharedMessage shared, Runnable onWritten) {
    PeerConnection connection = connectionsByHost.get(host);
    if (connection == null || blockedHosts.contains(host) || !connection.isWritable()) {
      return false;
    }
    Envelope envelope = withSender(message);
    if (!connection.write(envelope, shared, unwritten, onWritten)) {
      return false;
    }
    recordSent((long) envelope.getSerializedSize() + shared.size());
    return true;
  }

  private Envelope withSender(Envelope.Builder message) {
    return message.setFromHost(sender().name()).setFromIdentity(sender().identity()).build();
  }

  /**
   * Sends a message to the host whose data folder has the identity; returns whether it was handed
   * to a connection rather than dropped.
   */
  public boolean sendToIdentity(String identity, Envelope.Builder message) {
    for (PeerConnection connection : connectionsByHost.values()) {
      if (connection.remote().getIdentity().equals(identity)) {
        return send(connection.remote().getName(), message);
      }
    }
    return false;
  }

  /** Returns the total size of all messages sent, in bytes. */
  public long bytesSent() {
    return bytesSent.sum();
  }

  /** Returns the number of messages sent. */
  public long messagesSent() {
    return messagesSent.sum();
  }

  /**
   * Replaces the set of blocked hosts; messages to and from a blocked host are dropped without a
   * notice. Simulates a network partition for failure tests and demos, without a change to the
   * machine's network.
   */
  public void setBlockedHosts(Collection<String> hosts) {
    blockedHosts.clear();
    blockedHosts.addAll(hosts);
  }

  /** Starts {@link #run} on a new daemon thread, which ends when it is interrupted. */
  public Thread start() {
    return Thread.ofPlatform()
        .daemon(true)
        .name("network")
        .start(
            () -> {
              try {
                run();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
  }

  @Override
  public void run() throws InterruptedException {
    EventLoopGroup group =
        sharedEventLoopGroup == null ? EventLoops.newGroup() : sharedEventLoopGroup;
    ChannelFuture bindFuture = listen(group);
    try {
      bindFuture.sync();
      while (true) {
        boolean allConnected = dialMissing(group);
        // A discovered address or a lost connection ends the wait, so that it is dialled at once.
        newAddressSignal.tryAcquire(
            allConnected ? CONNECTED_CHECK_INTERVAL_MILLIS : DIAL_INTERVAL_MILLIS,
            TimeUnit.MILLISECONDS);
        newAddressSignal.drainPermits();
      }
    } finally {
      stop(bindFuture.channel(), group);
    }
  }

  private ChannelFuture listen(EventLoopGroup group) {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER)
        .childOption(ChannelOption.RECVBUF_ALLOCATOR, ClientChannel.readSizes())
        .handler(ReportingInitializer.forListener())
        .childHandler(acceptedInitializer(group))
        .bind(Addresses.parse(listenAddress));
  }

  /** Closes the listening socket before it returns, since a restarted host binds it at once. */
  private void stop(Channel server, EventLoopGroup group) {
    server.close().awaitUninterruptibly(STOP_TIMEOUT_MILLIS);
    connectionsByHost.values().forEach(PeerConnection::close);
    connectionsByHost.clear();
    updateConnectedHosts();
    diallingAddresses.clear();
    if (sharedEventLoopGroup == null) {
      group.shutdownGracefully(0, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Dials the hosts without a connection; returns whether all are connected. */
  private boolean dialMissing(EventLoopGroup group) {
    boolean allConnected = true;
    long nowMillis = Clock.system().nowMillis();
    discoveredAtMillis
        .values()
        .removeIf(discoveredAt -> nowMillis - discoveredAt > DISCOVERED_ADDRESS_TTL_MILLIS);
    Set<String> addresses = new HashSet<>(configuredAddresses);
    addresses.addAll(discoveredAtMillis.keySet());
    connectTimeouts.retainAddresses(addresses);
    for (String address : addresses) {
      String host = hostByAddress.get(address);
      boolean connected = host != null && connectionsByHost.containsKey(host);
      boolean isOwnAddress = address.equals(self.get().getPeerAddress());
      allConnected &= connected || isOwnAddress;
      if (!connected && !isOwnAddress && diallingAddresses.add(address)) {
        dial(group, address);
      }
    }
    return allConnected;
  }

  private void dial(EventLoopGroup group, String address) {
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeouts.timeoutMillis(address))
        .handler(dialledInitializer(address))
        .connect(Addresses.parse(address))
        .addListener(
            EventLoops.guard(
                future -> {
                  if (future.isSuccess()) {
                    connectTimeouts.recordSuccess(address);
                  } else {
                    if (future.cause() instanceof ConnectTimeoutException) {
                      connectTimeouts.recordTimeout(address);
                    }
                    diallingAddresses.remove(address);
                  }
                }));
  }

  private ReportingInitializer acceptedInitializer(EventLoopGroup group) {
    ClientChannel.Shared shared =
        new ClientChannel.Shared(accepted, new ReadTurns(group.next()), Clock.system());
    return new ReportingInitializer() {
      @Override
      protected void initChannel(Channel channel) {
        ClientChannel client = new ClientChannel(shared, Door.PEERS, channel);
        channel.pipeline().addLast(client);
        addHandlers(channel, "", client.account());
      }
    };
  }

  private ReportingInitializer dialledInitializer(String address) {
    return new ReportingInitializer() {
      @Override
      protected void initChannel(Channel channel) {
        addHandlers(channel, address, null);
      }
    };
  }

  private void addHandlers(
      Channel channel, String dialledAddress, ClientConnections.@Nullable Account account) {
    channel
        .pipeline()
        .addLast(new ReadTimeoutHandler(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
        .addLast(new LimitedFrameDecoder(MAX_MESSAGE_BYTES, account))
        .addLast(new ProtobufDecoder(Envelope.getDefaultInstance()))
        .addLast(new ProtobufVarint32LengthFieldPrepender())
        .addLast(new ProtobufEncoder())
        .addLast(new PeerConnection(this, dialledAddress, account));
  }

  // ---- called by PeerConnection -----------------------------------------------------------------

  HostRecord self() {
    return self.get();
  }

  /**
   * Registers the connection, unless an existing connection to the host is preferred; returns
   * whether it was registered.
   */
  synchronized boolean register(PeerConnection connection) {
    HostRecord remote = connection.remote();
    if (connection.isDialled()) {
      hostByAddress.put(connection.dialledAddress(), remote.getName());
    }
    hostByAddress.put(remote.getPeerAddress(), remote.getName());
    PeerConnection existing = connectionsByHost.get(remote.getName());
    if (existing != null && isSameProcess(existing, remote) && !isPreferred(connection)) {
      addDiscoveredAddress(remote.getPeerAddress());
      return false;
    }
    connectionsByHost.put(remote.getName(), connection);
    // Only now, since a discovered address of a host without a connection is dialled at once.
    addDiscoveredAddress(remote.getPeerAddress());
    updateConnectedHosts();
    if (existing != null) {
      existing.close();
    }
    listener.connected(remote);
    return true;
  }

  private static boolean isSameProcess(PeerConnection existing, HostRecord remote) {
    return existing.isActive() && existing.remote().getIncarnation() == remote.getIncarnation();
  }

  /**
   * Returns whether the connection was dialled by the host with the lower name. Both hosts prefer
   * it, so that they keep the same one of two connections.
   */
  private boolean isPreferred(PeerConnection connection) {
    String own = selfName();
    boolean ownNameIsLower = own.compareTo(connection.remote().getName()) < 0;
    return connection.isDialled() == ownNameIsLower;
  }

  synchronized void unregister(PeerConnection connection) {
    diallingAddresses.remove(connection.dialledAddress());
    HostRecord remote = connection.remoteOrNull();
    if (remote != null && connectionsByHost.remove(remote.getName(), connection)) {
      updateConnectedHosts();
      listener.disconnected(remote);
    }
    newAddressSignal.release();
  }

  void received(PeerConnection connection, Envelope message) {
    HostRecord remote = connection.remoteOrNull();
    if (remote != null && !blockedHosts.contains(remote.getName())) {
      listener.received(remote, message);
    }
  }
}
