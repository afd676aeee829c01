package org.curranthaven.internal.relay;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.SortedMap;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.DataCentreRegions;
import org.curranthaven.internal.catalog.Route;
import org.curranthaven.internal.clients.ClientChannel;
import org.curranthaven.internal.clients.ClientConnections;
import org.curranthaven.internal.clients.Door;
import org.curranthaven.internal.clients.HostLimits;
import org.curranthaven.internal.clients.ReadTurns;
import org.curranthaven.internal.dispatch.RetryLimits;
import org.curranthaven.internal.observe.RoutedMetrics;
import org.curranthaven.internal.observe.StatusServer;
import org.curranthaven.internal.settings.Addresses;
import org.curranthaven.internal.settings.RoutedSettings;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.EventLoops;
import org.curranthaven.internal.transport.PeerListener;
import org.curranthaven.internal.transport.PeerNetwork;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.HostRecord;
import org.curranthaven.internal.transport.wire.KnownHosts;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * A gateway host: accepts requests of callers and relays them to backend servers. Its components
 * run on one event loop.
 *
 * <pre>{@code
 * Gateway gateway = new Gateway(settings, protocol, Clock.system());
 * gateway.start();
 * gateway.drain();
 * }</pre>
 */
public final class Gateway implements PeerListener, RelayContext {
  /** Time after the start of a drain during which load balancers may still open connections. */
  private static final long LATE_CONNECTION_WINDOW_MILLIS = 3_500;

  /** Time reserved at the end of a drain for the process to exit. */
  private static final long EXIT_MARGIN_MILLIS = 300;

  private static final long DRAIN_POLL_MILLIS = 50;

  /** Longest time for which the last responses of a drain are sent; part of the exit margin. */
  private static final long LAST_RESPONSES_MILLIS = 100;

  private static final long LAST_RESPONSES_POLL_MILLIS = 5;

  /**
   * Part of the memory for bodies that connections may take for heads and incomplete small bodies;
   * the rest is enough for all large requests.
   */
  static final double CLIENT_MEMORY_PART = 0.4;

  /**
   * Bits of a placement id below the start time of the process: no decision for an earlier lifetime
   * names a request of this one.
   */
  private static final int PLACEMENT_IDS_BITS = 20;

  private final RoutedSettings settings;
  private final WireProtocol protocol;
  private final Clock clock;
  private final EventLoopGroup group;
  private final EventLoop loop;
  private final PeerNetwork network;
  private final SchedulerLink link;
  private final BackendPool pool;
  private final OtherGateways otherGateways;
  private final RequestForwarding forwarding;
  private final CrashProbe crashProbe;
  private final EndConfirmation endConfirmation;
  private final ResponseBuffers responseBuffers = new ResponseBuffers();
  private final BodyMemory bodyMemory;
  private final HostLimits limits;
  private final ClientConnections clients;
  private final RelayServer server;
  private final RequestPathWarmUp warmUp;
  private final RandomGenerator random;
  private final HostRecord self;
  private final @Nullable RoutedMetrics metrics;
  private final OpenRequests openRequests = new OpenRequests();
  private final DeferredActions awaitingInitialization;
  private Catalog catalog = Catalog.empty();
  private volatile long drainStartMillis;
  private volatile long drainEndMillis;
  private volatile boolean draining;
  private long placementCounter;

  /** Creates a gateway, which {@link #start} starts. */
  public Gateway(RoutedSettings settings, WireProtocol protocol, Clock clock) {
    this.settings = settings;
    this.protocol = protocol;
    this.clock = clock;
    this.bodyMemory = BodyMemory.of(settings.bodyMemoryBytes(), Runtime.getRuntime().maxMemory());
    long incarnation = clock.epochMillis();
    this.placementCounter = incarnation << PLACEMENT_IDS_BITS;
    String statusAddress = settings.statusAddress();
    this.metrics = statusAddress == null || statusAddress.isEmpty() ? null : new RoutedMetrics();
    this.random = new SplittableRandom(settings.name().hashCode() ^ System.nanoTime());
    this.group = EventLoops.newGroup();
    this.loop = group.next();
    this.self =
        HostRecord.newBuilder()
            .setName(settings.name())
            .setDataCentre(settings.dataCentre())
            .setPeerAddress(settings.peerAddress())
            .setHttpAddress(String.valueOf(settings.callerAddress()))
            .setIncarnation(incarnation)
            .build();
    this.limits = HostLimits.gateway(settings.descriptorLimit());
    this.network =
        new PeerNetwork(
            settings.peerAddress(),
            settings.contactPeerAddresses(),
            () -> self,
            this,
            group,
            limits.peers());
    this.link =
        new SchedulerLink(
            settings.name(),
            loop,
            clock,
            random,
            new RetryLimits(
                settings.retryRatio(), settings.retrySlack(), settings.retryWindowMillis()),
            network::send,
            new SchedulerViewListener(),
            protocol.features(settings.protocolFeatures()));
    this.awaitingInitialization = new DeferredActions(loop);
    this.pool = new BackendPool(loop, clock, protocol, new StrayResponseLog(this::countStray));
    pool.limitConnections(limits.backends());
    this.otherGateways = new OtherGateways(self.getHttpAddress());
    this.forwarding = new RequestForwarding(pool.reach(), otherGateways);
    this.crashProbe = new CrashProbe(pool, link);
    this.endConfirmation = new EndConfirmation(loop, protocol, pool, crashProbe);
    this.clients =
        new ClientConnections(
            limits.connections(),
            (long) (bodyMemory.maxBytes() * CLIENT_MEMORY_PART),
            bodyMemory::addClientBytes);
    this.server =
        new RelayServer(group, this, new ClientChannel.Shared(clients, new ReadTurns(loop), clock));
    this.warmUp =
        new RequestPathWarmUp(group, loop, clock, protocol, random, () -> openRequests.count() > 0);
  }

  /** Starts to listen for callers and to look for a scheduler. */
  public void start() throws InterruptedException {
    network.start();
    server.listenForCallers(Addresses.parse(String.valueOf(settings.callerAddress())));
    String readyAddress = settings.readyAddress();
    if (readyAddress != null && !readyAddress.isEmpty()) {
      server.listenForReadinessChecks(Addresses.parse(readyAddress), this::isReady);
    }
    startStatusServer();
    warmUp.start();
    Logger.info("gateway {} listens for callers at {}", settings.name(), settings.callerAddress());
  }

  private void startStatusServer() {
    String address = settings.statusAddress();
    RoutedMetrics statusMetrics = metrics;
    if (statusMetrics == null || address == null) {
      return;
    }
    statusMetrics.gauge("curranthaven_open_calls", openRequests::count);
    statusMetrics.gauge("curranthaven_peer_bytes_sent", network::bytesSent);
    statusMetrics.gauge("curranthaven_caller_connections", () -> clients.count(Door.CALLERS));
    statusMetrics.gauge("curranthaven_client_bytes", clients::heldBytes);
    statusMetrics.counter("curranthaven_connections_closed_for_others", clients::closedForOthers);
    registerLinkCounters(statusMetrics);
    try {
      StatusServer.start(Addresses.parse(address), limits.status(), statusMetrics, this::dump);
    } catch (IOException e) {
      Logger.error(
          "status server cannot listen at {}: {}; the gateway runs without it",
          address,
          e.getMessage());
    }
  }

  private void registerLinkCounters(RoutedMetrics statusMetrics) {
    LinkCounters counters = link.counters();
    statusMetrics.counter("curranthaven_placement_requests_sent_again", counters::sentAgain);
    for (LinkCounters.Reason reason : LinkCounters.Reason.values()) {
      statusMetrics.counter(
          "curranthaven_ignored_decisions",
          () -> counters.ignored(reason),
          "reason",
          reason.name().toLowerCase(Locale.ROOT));
    }
  }

  private void countStray(StrayResponse.Reason reason) {
    RoutedMetrics statusMetrics = metrics;
    if (statusMetrics != null) {
      statusMetrics.countStrayResponse(reason.name());
    }
  }

  private boolean isReady() {
    return !draining && isInitialized() && warmUp.isOver();
  }

  /**
   * Drains the gateway: reports it as not ready to load balancers, and waits until the open
   * requests have finished or the drain time has nearly expired. Then it ends those that are left.
   *
   * @return the number of requests that were ended without the whole response of a backend server
   */
  public int drain() throws InterruptedException {
    long startMillis = clock.nowMillis();
    long endMillis = startMillis + settings.drainMillis() - EXIT_MARGIN_MILLIS;
    drainStartMillis = startMillis;
    drainEndMillis = endMillis;
    draining = true;
    Logger.info(
        "gateway {} drains {} open requests for at most {} ms",
        settings.name(),
        openRequests.count(),
        endMillis - startMillis);
    boolean idleConnectionsClosed = false;
    while (clock.nowMillis() < endMillis) {
      boolean lateConnectionsOver =
          clock.nowMillis() - startMillis >= LATE_CONNECTION_WINDOW_MILLIS;
      if (lateConnectionsOver && !idleConnectionsClosed) {
        idleConnectionsClosed = true;
        loop.execute(server::closeIdleConnections);
      } else if (lateConnectionsOver && openRequests.count() == 0 && isClosedToCallers()) {
        break;
      }
      loop.execute(openRequests::rejectUnacceptable);
      Thread.sleep(DRAIN_POLL_MILLIS);
    }
    return stopOpenRequests();
  }

  /** Ends the open requests, and gives their last responses some time to reach the callers. */
  private int stopOpenRequests() throws InterruptedException {
    try {
      int stopped = loop.submit(openRequests::stopAll).get();
      long flushEndMillis = clock.nowMillis() + LAST_RESPONSES_MILLIS;
      while (clock.nowMillis() < flushEndMillis && loop.submit(server::isSending).get()) {
        Thread.sleep(LAST_RESPONSES_POLL_MILLIS);
      }
      return stopped;
    } catch (ExecutionException e) {
      Logger.error(e, "gateway {} could not end its open requests", settings.name());
      return openRequests.count();
    }
  }

  /**
   * Closes the gateway to callers unless a request has just been accepted; returns whether no
   * caller is left. Runs on the event loop, on which no request arrives meanwhile.
   */
  private boolean isClosedToCallers() throws InterruptedException {
    try {
      return loop.submit(() -> openRequests.count() == 0 && server.closeToCallers()).get();
    } catch (ExecutionException e) {
      Logger.error(e, "gateway {} could not be closed to callers", settings.name());
      return false;
    }
  }

  /** Handles the catalogs and backend servers that the scheduler publishes. */
  private final class SchedulerViewListener implements SchedulerLink.ViewListener {
    @Override
    public void catalogReceived(byte[] document) {
      switch (protocol.catalogs().decode(document)) {
        case Outcome.Failed<Catalog> failed ->
            Logger.error(
                "catalog of {} bytes from the scheduler cannot be decoded: {};"
                    + " catalog {} stays active",
                document.length,
                failed.failure(),
                catalog.revision());
        case Outcome.Success<Catalog> success -> activateCatalog(success.value());
      }
    }

    @Override
    public void backendsChanged(Collection<BackendRecord> backends) {
      pool.retain(backends.stream().map(BackendRecord::getAddress).collect(Collectors.toSet()));
      runDeferredActions();
    }

    @Override
    public void evacuationChanged(Collection<String> dataCentres) {
      if (metrics != null) {
        metrics.showEvacuated(dataCentres);
      }
    }
  }

  private void activateCatalog(Catalog newCatalog) {
    if (newCatalog.revision() > catalog.revision()) {
      catalog = newCatalog;
      link.activateCatalog(newCatalog);
      Logger.info("catalog {} activated", newCatalog.revision());
      runDeferredActions();
    }
  }

  private void runDeferredActions() {
    if (isInitialized()) {
      awaitingInitialization.runPending();
    }
  }

  // ---- other hosts ------------------------------------------------------------------------------

  @Override
  public void received(HostRecord from, Envelope message) {
    switch (message.getPayloadCase()) {
      case SCHEDULER_VIEW -> link.handle(from.getName(), message.getSchedulerView());
      case DISPATCH_ORDERS -> link.handle(from.getName(), message.getDispatchOrders());
      case KNOWN_HOSTS -> learnHosts(message.getKnownHosts());
      default -> {}
    }
  }

  private void learnHosts(KnownHosts known) {
    known.getControlAddressesList().forEach(network::addDiscoveredAddress);
    loop.execute(() -> otherGateways.learn(known.getGatewaysList(), clock.nowMillis()));
  }

  @Override
  public void connected(HostRecord host) {
    Logger.info("connected to host {}", host.getName());
  }

  @Override
  public void disconnected(HostRecord host) {
    Logger.info("connection to host {} lost", host.getName());
    loop.execute(() -> link.disconnected(host.getName()));
  }

  // ---- context of the requests ------------------------------------------------------------------

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
  public RequestForwarding forwarding() {
    return forwarding;
  }

  @Override
  public CrashProbe crashProbe() {
    return crashProbe;
  }

  @Override
  public EndConfirmation endConfirmation() {
    return endConfirmation;
  }

  @Override
  public ResponseBuffers responseBuffers() {
    return responseBuffers;
  }

  @Override
  public BodyMemory bodyMemory() {
    return bodyMemory;
  }

  @Override
  public String dataCentre() {
    return settings.dataCentre();
  }

  @Override
  public DataCentreRegions regions() {
    return settings.regions();
  }

  @Override
  public Catalog catalog() {
    return catalog;
  }

  @Override
  public boolean isInitialized() {
    return link.hasReceivedView() && catalog.revision() > 0;
  }

  @Override
  public void whenInitialized(Runnable action, long maxDelayMillis) {
    awaitingInitialization.defer(action, maxDelayMillis);
  }

  @Override
  public boolean isDraining() {
    return draining;
  }

  @Override
  public boolean mayAccept(long timeoutMillis) {
    long nowMillis = clock.nowMillis();
    return !draining
        || DrainRules.mayAccept(
            nowMillis - drainStartMillis, drainEndMillis - nowMillis, timeoutMillis);
  }

  @Override
  public @Nullable BackendRecord backend(String id) {
    return link.backend(id);
  }

  @Override
  public long nextPlacementId() {
    return placementCounter++;
  }

  @Override
  public double nextRandom() {
    return random.nextDouble();
  }

  @Override
  public void requestOpened(RoutedRequest request) {
    openRequests.add(request);
  }

  @Override
  public void requestClosed(RoutedRequest request) {
    openRequests.remove(request);
  }

  @Override
  public void recordFirstReply(Route route, long firstReplyMillis) {
    if (metrics != null) {
      metrics.recordFirstReply(route.name(), firstReplyMillis);
    }
  }

  @Override
  public void recordRetry(String service, boolean allowed) {
    if (metrics != null) {
      metrics.countRetry(service, allowed);
    }
  }

  @Override
  public void recordFailure(Route route, ResultCode code) {
    if (metrics != null) {
      metrics.countFailure(route.name(), code);
    }
  }

  /**
   * State of a gateway, for operators.
   *
   * @param scheduler host of the current scheduler; empty during local fallback
   * @param blockedPromptParts parts of prompts on which engines crashed, so that requests with them
   *     are rejected
   * @param blockedRequests fingerprints of requests on which backend servers crashed, so that they
   *     are rejected
   * @param statedRateLimits requests a second that backend servers accept, by those that state it
   * @param evacuatedDataCentres data centres to whose backend servers nothing is sent
   * @param evacuationRevision number of changes to these
   * @param coldLeftMillis times for which backend servers are cold still and get only their cold
   *     rate
   * @param memoryReserves memory that the gateway keeps for more urgent requests in local fallback
   * @param backendCapacities what is known of the capacity of each backend server whose service
   *     states how slow its machines are
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
      List<String> blockedPromptParts,
      List<String> blockedRequests,
      SortedMap<String, Double> statedRateLimits,
      List<String> evacuatedDataCentres,
      long evacuationRevision,
      SortedMap<String, Long> coldLeftMillis,
      List<String> memoryReserves,
      List<String> backendCapacities,
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
                openRequests.count(),
                pool.connectionsOpened(),
                link.backendNames(),
                link.blockedPromptParts(),
                link.blockedRequests(),
                link.statedRateLimits(),
                link.evacuatedDataCentres(),
                link.evacuationRevision(),
                link.coldLeftMillis(),
                link.memoryReserves(),
                link.backendCapacities(),
                connectedHosts()));
  }

  /** Drops messages to and from the hosts, as a network partition does; for failure tests. */
  public void setBlockedHosts(Collection<String> hosts) {
    network.setBlockedHosts(hosts);
  }

  /** Refuses connections to all backend servers, as a network partition may; for failure tests. */
  public void setPartitionedFromBackends(boolean partitioned) {
    loop.execute(() -> pool.setPartitioned(partitioned));
  }

  private List<String> connectedHosts() {
    return network.connectedHosts().stream().map(HostRecord::getName).sorted().toList();
  }
}
