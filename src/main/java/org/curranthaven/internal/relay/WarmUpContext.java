package org.curranthaven.internal.relay;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.DataCentreRegions;
import org.curranthaven.internal.catalog.EngineCapabilities;
import org.curranthaven.internal.catalog.Repeatability;
import org.curranthaven.internal.catalog.RequestLimits;
import org.curranthaven.internal.catalog.Route;
import org.curranthaven.internal.catalog.ServiceSpec;
import org.curranthaven.internal.catalog.ServiceWeight;
import org.curranthaven.internal.dispatch.DispatchFeatures;
import org.curranthaven.internal.dispatch.RetryLimits;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.DispatchOrders;
import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.Placement;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.curranthaven.internal.transport.wire.Rejection;
import org.curranthaven.internal.transport.wire.SchedulerView;
import org.jspecify.annotations.Nullable;

/**
 * What the requests of a {@link RequestPathWarmUp} share: a catalog and backend servers of their
 * own, and a scheduler that places each request at once. Nothing of it reaches another host.
 */
final class WarmUpContext implements RelayContext {
  /** Name of the scheduler and of the data centre, as they appear in log lines. */
  private static final String NAME = "warm-up";

  private static final String REJECTED_ROUTE = "rejected";
  private static final String PLAIN_SERVICE = "plain";
  private static final String ENGINE_SERVICE = "engine";
  private static final long TERM = 1;
  private static final long TARGET_MILLIS = 1_000;

  private final EventLoop loop;
  private final Clock clock;
  private final WireProtocol protocol;
  private final RandomGenerator random;
  private final BackendPool pool;
  private final SchedulerLink link;
  private final CrashProbe crashProbe;
  private final EndConfirmation endConfirmation;
  private final ResponseBuffers responseBuffers = new ResponseBuffers();
  private final BodyMemory bodyMemory = BodyMemory.of(0, Runtime.getRuntime().maxMemory());
  private final RequestForwarding forwarding =
      new RequestForwarding(new BackendReach(), new OtherGateways(""));
  private final Catalog catalog = createCatalog();
  private long placementCounter = 1;
  private long statusNumber;

  WarmUpContext(EventLoop loop, Clock clock, WireProtocol protocol, RandomGenerator random) {
    this.loop = loop;
    this.clock = clock;
    this.protocol = protocol;
    this.random = random;
    this.pool = new BackendPool(loop, clock, protocol);
    this.link =
        new SchedulerLink(
            NAME,
            loop,
            clock,
            random,
            new RetryLimits(1, 1, TARGET_MILLIS),
            (host, message) -> schedule(message.build()),
            new IgnoringListener(),
            DispatchFeatures.none());
    this.crashProbe = new CrashProbe(pool, link);
    this.endConfirmation = new EndConfirmation(loop, protocol, pool, crashProbe);
  }

  private static Catalog createCatalog() {
    return new Catalog(
        1,
        List.of(
            route("plain", RequestPathWarmUp.PLAIN_PATH, Repeatability.IDEMPOTENT, PLAIN_SERVICE),
            route(
                REJECTED_ROUTE,
                RequestPathWarmUp.REJECTED_PATH,
                Repeatability.NON_IDEMPOTENT,
                PLAIN_SERVICE),
            route("stream", RequestPathWarmUp.STREAM_PATH, Repeatability.STREAM, ENGINE_SERVICE)),
        List.of(
            new ServiceSpec(PLAIN_SERVICE, 1, null),
            new ServiceSpec(ENGINE_SERVICE, 1, new EngineCapabilities(1, 1_000, 1, true, true))),
        RequestLimits.standard(),
        null);
  }

  private static Route route(String name, String path, Repeatability kind, String service) {
    return new Route(
        name,
        RequestPathWarmUp.HOST,
        path,
        kind,
        RequestPathWarmUp.MAX_DURATION_MILLIS,
        TARGET_MILLIS,
        0,
        0,
        1,
        true,
        false,
        List.of(new ServiceWeight(service, 1)));
  }

  /** Publishes the stand-in backend server as one of each service. */
  void publishBackend(InetSocketAddress address) {
    SchedulerView.Builder view =
        SchedulerView.newBuilder()
            .setTerm(TERM)
            .setVersion(1)
            .setCatalogRevision(catalog.revision())
            .setGateways(1);
    for (String service : List.of(PLAIN_SERVICE, ENGINE_SERVICE)) {
      view.addBackends(
          BackendRecord.newBuilder()
              .setId(service)
              .setService(service)
              .setAddress(address.getAddress().getHostAddress() + ":" + address.getPort())
              .setDataCentre(NAME)
              .setSlots(1));
    }
    link.activateCatalog(catalog);
    link.handle(NAME, view.build());
  }

  /** Decides on placement requests, as the scheduler of the fleet does on another host. */
  private void schedule(Envelope message) {
    statusNumber = Math.max(statusNumber, message.getGatewayStatus().getNumber());
    DispatchOrders.Builder orders =
        DispatchOrders.newBuilder().setTerm(TERM).setStatusNumber(statusNumber);
    for (PlacementRequest request : message.getDispatchRequests().getAsksList()) {
      if (request.getRoute().equals(REJECTED_ROUTE)) {
        orders.addRefusals(
            Rejection.newBuilder()
                .setId(request.getId())
                .setRetryAfterMillis(TARGET_MILLIS)
                .setReason(NAME));
      } else {
        orders.addPlacements(
            Placement.newBuilder().setId(request.getId()).setBackend(request.getService()));
      }
    }
    if (orders.getPlacementsCount() + orders.getRefusalsCount() > 0) {
      loop.execute(() -> link.handle(NAME, orders.build()));
    }
  }

  /** The warm-up knows its catalog and backend servers already. */
  private static final class IgnoringListener implements SchedulerLink.ViewListener {
    @Override
    public void catalogReceived(byte[] document) {}

    @Override
    public void backendsChanged(java.util.Collection<BackendRecord> backends) {}
  }

  /** Ends the scheduler, so that further requests are placed locally. */
  void loseScheduler() {
    link.handle(NAME, SchedulerView.newBuilder().setTerm(TERM).setResigned(true).build());
  }

  /** Closes the idle connections and ends the work of the placer. */
  void close() {
    pool.retain(Set.of());
    link.close();
  }

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
    return NAME;
  }

  @Override
  public DataCentreRegions regions() {
    return new DataCentreRegions(Map.of());
  }

  @Override
  public Catalog catalog() {
    return catalog;
  }

  @Override
  public boolean isInitialized() {
    return true;
  }

  @Override
  public void whenInitialized(Runnable action, long maxDelayMillis) {
    action.run();
  }

  @Override
  public boolean isDraining() {
    return false;
  }

  @Override
  public boolean mayAccept(long timeoutMillis) {
    return true;
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
  public void requestOpened(RoutedRequest request) {}

  @Override
  public void requestClosed(RoutedRequest request) {}

  @Override
  public void recordFirstReply(Route route, long firstReplyMillis) {}

  @Override
  public void recordRetry(String service, boolean allowed) {}

  @Override
  public void recordFailure(Route route, ResultCode code) {}
}
