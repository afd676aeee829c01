package org.curranthaven.internal.relay;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Future;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.Route;
import org.curranthaven.internal.dispatch.RetryLimits;
import org.curranthaven.internal.observe.RoutedMetrics;
import org.curranthaven.internal.observe.StatusServer;
import org.curranthaven.internal.settings.Addresses;
import org.curranthaven.internal.settings.RoutedSettings;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.PeerListener;
import org.curranthaven.internal.transport.PeerNetwork;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.HostRecord;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * A host that takes callers' calls: its parts, wired on one event loop.
 *
 * <pre>{@code
 * Gateway gateway = new Gateway(settings, protocol, Clock.system());
 * gateway.start();
 * gateway.drain();
 * }</pre>
 */
public final class Gateway implements PeerListener, RelayContext {
  /** Time after the start of a planned stop for which new connections may still arrive. */
  private static final long LATE_CONNECTIONS_MILLIS = 3_500;

  /** Time before the end of a planned stop that is left for the process to end. */
  private static final long EXIT_MARGIN_MILLIS = 300;

  private static final long DRAIN_POLL_MILLIS = 50;

  private final RoutedSettings settings;
  private final WireProtocol protocol;
  private final Clock clock;
  private final EventLoopGroup group;
  private final EventLoop loop;
  private final PeerNetwork network;
  private final SchedulerLink link;
  private final BackendPool pool;
  private final RelayServer server;
  private final RandomGenerator random;
  private final HostRecord self;
  private final @Nullable RoutedMetrics metrics;
  private final Set<RoutedRequest> open = new HashSet<>();
  private final DeferredActions awaitingInformation;
  private Catalog catalog = Catalog.empty();
  private volatile long stopBeganMillis;
  private volatile long stopEndsMillis;
  private volatile boolean draining;
  private volatile int openCalls;
  private long placements = 1;

  /** Creates a gateway; it starts with {@link #start}. */
  public Gateway(RoutedSettings settings, WireProtocol protocol, Clock clock) {
    this.settings = settings;
    this.protocol = protocol;
    this.clock = clock;
    long incarnation = clock.epochMillis();
    String status = settings.statusAddress();
    this.metrics = status == null || status.isEmpty() ? null : new RoutedMetrics();
    this.random = new SplittableRandom(settings.name().hashCode() ^ System.nanoTime());
    this.group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    this.loop = group.next();
    this.self =
        HostRecord.newBuilder()
            .setName(settings.name())
            .setDataCentre(settings.dataCentre())
            .setPeerAddress(settings.peerAddress())
            .setIncarnation(incarnation)
            .build();
    this.network =
        new PeerNetwork(
            settings.peerAddress(), settings.contactPeerAddresses(), () -> self, this, group);
    this.link =
        new SchedulerLink(
            settings.name(),
            loop,
            clock,
            random,
            new RetryLimits(
                settings.retryRatio(), settings.retrySlack(), settings.retryWindowMillis()),
            network::send,
            new Views());
    this.awaitingInformation = new DeferredActions(loop);
    this.pool = new BackendPool(loop, clock, protocol);
    this.server = new RelayServer(group, this);
  }

  /** Starts to listen and to look for a scheduler. */
  public void start() throws InterruptedException {
    network.start();
    server.listenForCallers(Addresses.parse(String.valueOf(settings.callerAddress())));
    String ready = settings.readyAddress();
    if (ready != null && !ready.isEmpty()) {
      server.listenForReadinessChecks(Addresses.parse(ready), this::isReady);
    }
    startStatus();
    Logger.info("{} takes callers at {}", settings.name(), settings.callerAddress());
  }

  private void startStatus() {
    String address = settings.statusAddress();
    RoutedMetrics shown = metrics;
    if (shown == null || address == null) {
      return;
    }
    shown.gauge("curranthaven_open_calls", () -> openCalls);
    shown.gauge("curranthaven_peer_bytes_sent", network::bytesSent);
    try {
      StatusServer.start(Addresses.parse(address), shown, this::dump);
    } catch (IOException e) {
      Logger.error("no status at {}: {}; the gateway serves without it", address, e.getMessage());
    }
  }

  private boolean isReady() {
    return !draining && isInformed();
  }

  /**
   * Carries out a planned stop: takes no new connections from the balancer, and waits until the
   * open calls have ended or the time allowed is nearly up.
   *
   * @return the number of calls that were cut off
   */
  public int drain() throws InterruptedException {
    long startMillis = clock.nowMillis();
    long endMillis = startMillis + settings.drainMillis() - EXIT_MARGIN_MILLIS;
    stopBeganMillis = startMillis;
    stopEndsMillis = endMillis;
    draining = true;
    Logger.info("{} drains {} open calls", settings.name(), openCalls);
    boolean idleClosed = false;
    while (clock.nowMillis() < endMillis) {
      boolean late = clock.nowMillis() - startMillis >= LATE_CONNECTIONS_MILLIS;
      if (late && !idleClosed) {
        idleClosed = true;
        loop.execute(server::closeIdleConnections);
      } else if (late && openCalls == 0) {
        break;
      }
      Thread.sleep(DRAIN_POLL_MILLIS);
    }
    return openCalls;
  }

  /** What a scheduler tells this gateway. */
  private final class Views implements SchedulerLink.ViewListener {
    @Override
    public void catalogReceived(byte[] document) {
      switch (protocol.catalogs().decode(document)) {
        case Outcome.Failed<Catalog> failed ->
            Logger.error("a catalog that was accepted cannot be read: {}", failed.failure());
        case Outcome.Success<Catalog> success -> install(success.value());
      }
    }

    @Override
    public void backendsChanged(Collection<BackendRecord> backends) {
      pool.retain(backends.stream().map(BackendRecord::getAddress).collect(Collectors.toSet()));
      runAwaiting();
    }
  }

  private void install(Catalog newer) {
    if (newer.revision() > catalog.revision()) {
      catalog = newer;
      link.catalogInForce(newer);
      Logger.info("catalog {} is in force", newer.revision());
      runAwaiting();
    }
  }

  private void runAwaiting() {
    if (isInformed()) {
      awaitingInformation.release();
    }
  }

  // ---- other hosts ------------------------------------------------------------------------------

  @Override
  public void received(HostRecord from, Envelope message) {
    switch (message.getPayloadCase()) {
      case SCHEDULER_VIEW -> link.received(from.getName(), message.getSchedulerView());
      case DISPATCH_ORDERS -> link.received(from.getName(), message.getDispatchOrders());
      case KNOWN_HOSTS ->
          message.getKnownHosts().getControlAddressesList().forEach(network::addDiscoveredAddress);
      default -> {}
    }
  }

  @Override
  public void connected(HostRecord host) {
    Logger.info("connected to {}", host.getName());
  }

  @Override
  public void disconnected(HostRecord host) {
    Logger.info("the connection to {} is gone", host.getName());
    loop.execute(() -> link.disconnected(host.getName()));
  }

  // ---- context of the calls ---------------------------------------------------------------------

  @Override
  public EventLoop loop() {
    return loop;
  }

  @Override
  public Clock clock() {
    return clock;
  }

  @Override
  public WireProtocol protocol() {
    return protocol;
  }

  @Override
  public BackendPool pool() {
    return pool;
  }

  @Override
  public RequestPlacer placer() {
    return link;
  }

  @Override
  public String dataCentre() {
    return settings.dataCentre();
  }

  @Override
  public Catalog catalog() {
    return catalog;
  }

  @Override
  public boolean isInformed() {
    return link.isViewed() && catalog.revision() > 0;
  }

  @Override
  public void whenInformed(Runnable action, long mostMillis) {
    awaitingInformation.hold(action, mostMillis);
  }

  @Override
  public boolean isDraining() {
    return draining;
  }

  @Override
  public boolean mayTake(long allowedMillis) {
    long nowMillis = clock.nowMillis();
    return !draining
        || DrainRules.mayTake(
            nowMillis - stopBeganMillis, stopEndsMillis - nowMillis, allowedMillis);
  }

  @Override
  public @Nullable BackendRecord backend(String id) {
    return link.backend(id);
  }

  @Override
  public long nextPlacementId() {
    return placements++;
  }

  @Override
  public double draw() {
    return random.nextDouble();
  }

  @Override
  public void opened(RoutedRequest exchange) {
    open.add(exchange);
    openCalls = open.size();
  }

  @Override
  public void closed(RoutedRequest exchange) {
    open.remove(exchange);
    openCalls = open.size();
  }

  @Override
  public void measured(Route route, long firstReplyMillis) {
    if (metrics != null) {
      metrics.firstReply(route.name(), firstReplyMillis);
    }
  }

  @Override
  public void failed(Route route, ResultCode code) {
    if (metrics != null) {
      metrics.failed(route.name(), code);
    }
  }

  /**
   * State of a gateway for operators.
   *
   * @param scheduler host that schedules; empty while the gateway decides alone
   */
  public record Dump(
      String name,
      boolean ready,
      boolean draining,
      String scheduler,
      long catalogRevision,
      int openCalls,
      long backendConnectionsOpened,
      List<String> backends,
      List<String> hosts) {}

  /** Returns the state of the gateway, read on its event loop. */
  public Future<Dump> dump() {
    return loop.submit(
        () ->
            new Dump(
                settings.name(),
                isReady(),
                draining,
                link.scheduler(),
                catalog.revision(),
                openCalls,
                pool.opened(),
                link.backendNames(),
                connectedHosts()));
  }

  private List<String> connectedHosts() {
    return network.connectedHosts().stream().map(HostRecord::getName).sorted().toList();
  }
}
