package org.curranthaven.internal.scheduler;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.CrashSuspectState;
import org.curranthaven.internal.catalog.EvacuationState;
import org.curranthaven.internal.catalog.ServiceVersion;
import org.curranthaven.internal.catalog.StreamOriginState;
import org.curranthaven.internal.dispatch.BackendRegistry;
import org.curranthaven.internal.dispatch.DispatchCore;
import org.curranthaven.internal.dispatch.DispatchFeatures;
import org.curranthaven.internal.dispatch.RequestId;
import org.curranthaven.internal.dispatch.RetryLimits;
import org.curranthaven.internal.dispatch.SchedulerRetries;
import org.curranthaven.internal.dispatch.SharedKnowledge;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.BackendStatement;
import org.curranthaven.internal.transport.wire.DispatchEnd;
import org.curranthaven.internal.transport.wire.DispatchOrders;
import org.curranthaven.internal.transport.wire.DispatchProgress;
import org.curranthaven.internal.transport.wire.DispatchRequests;
import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.GatewayStatus;
import org.curranthaven.internal.transport.wire.HostRecord;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.curranthaven.internal.transport.wire.RateLimitList;
import org.curranthaven.internal.transport.wire.RunningDispatch;
import org.curranthaven.internal.transport.wire.SchedulerView;
import org.tinylog.Logger;

/**
 * Schedules the requests of all gateways while its host leads group 0. Its state is soft: a new
 * leader rebuilds it from what the gateways report. Confined to the event loop.
 */
final class Scheduler {
  private static final long HEARTBEAT_INTERVAL_MILLIS = 130;
  private static final long QUEUED_TICK_INTERVAL_MILLIS = 40;

  /**
   * Time for which a gateway that was lost may place requests locally, on its share of the rates
   * that backend servers accept: one that ended or was cut off from them as well needs none.
   */
  private static final long LOST_GATEWAY_SHARE_MILLIS = 10_000;

  /** Longest time for which a new leader waits for the gateways to report their open requests. */
  private static final long MAX_REBUILD_MILLIS = 250;

  /** Shortest such time: lets gateways reconnect that were disconnected with the old leader. */
  static final long MIN_REBUILD_MILLIS = 100;

  private final EventLoop loop;
  private final Clock clock;
  private final RandomGenerator random;
  private final RetryLimits retryLimits;
  private final long backendTimeoutMillis;
  private final BooleanSupplier hasLease;
  private final Supplier<Collection<HostRecord>> gateways;
  private final GatewaySender sender;
  private final VersionGate versionGate;
  private final StreamOriginLog originLog;
  private final CrashSuspectLog suspectLog;
  private final EvacuationOrders evacuation;
  private final DispatchFeatures features;
  private final Map<String, GatewayView> gatewayViews = new HashMap<>();

  /** Gateways that may place requests locally, and when their connections were lost. */
  private final Map<String, Long> lostGateways = new HashMap<>();

  /** Gateways of earlier leaders; one that has not found this leader yet decides by itself. */
  private EarlierGateways earlierGateways = new EarlierGateways(false, 0);

  private final PendingAcknowledgements pendingAcknowledgements = new PendingAcknowledgements();
  private final RepeatedRequests repeatedRequests = new RepeatedRequests();
  private final List<Runnable> deferredActions = new ArrayList<>();
  private Catalog catalog = Catalog.empty();
  private final CatalogDelivery catalogDelivery;
  private DispatchCore core;
  private SchedulerRetries retries = new SchedulerRetries();
  private SharedKnowledge knowledge = SharedKnowledge.ofScheduler(retries);
  private BackendRegistry registry = new BackendRegistry();
  private long term;
  private long viewVersion;
  private long startedAtMillis;
  private boolean rebuilding;
  private long lastHeartbeatMillis;
  private boolean tickScheduled;

  /**
   * Creates a scheduler, which {@link #setTerm} starts.
   *
   * @param hasLease whether no other host can lead now, by the clock; a process that was suspended
   *     learns of its lost leadership only some time after it runs again
   * @param gateways supplies the connected gateways
   * @param sender sends a message to the host with the given name, best effort
   * @param log replicates what the next scheduler has to know
   * @param dataCentreLog replicates the data centres that backend servers register from
   * @param features functions of the dispatch core that the deployment asks for
   */
  Scheduler(
      EventLoop loop,
      Clock clock,
      RandomGenerator random,
      RetryLimits retryLimits,
      long backendTimeoutMillis,
      BooleanSupplier hasLease,
      Supplier<Collection<HostRecord>> gateways,
      GatewaySender sender,
      SchedulerLog log,
      DataCentreLog dataCentreLog,
      DispatchFeatures features) {
    this.features = features;
    this.loop = loop;
    this.clock = clock;
    this.random = random;
    this.retryLimits = retryLimits;
    this.backendTimeoutMillis = backendTimeoutMillis;
    this.hasLease = hasLease;
    this.gateways = gateways;
    this.sender = sender;
    this.catalogDelivery = new CatalogDelivery(sender);
    this.versionGate = new VersionGate(log);
    this.originLog = new StreamOriginLog(log);
    this.suspectLog = new CrashSuspectLog(log);
    this.evacuation = new EvacuationOrders(dataCentreLog);
    this.core = newCore();
  }

  private DispatchCore newCore() {
    return new DispatchCore(retryLimits, 1, random, Set.of(), knowledge, features);
  }

  boolean isLeading() {
    return term > 0;
  }

  // ---- leadership -------------------------------------------------------------------------------

  /**
   * Starts scheduling in the given term, or stops scheduling if it is 0.
   *
   * @param servedVersions software versions that earlier leaders have committed
   */
  void setTerm(long newTerm, Collection<ServiceVersion> servedVersions) {
    if (term > 0) {
      stopScheduling();
    }
    term = newTerm;
    if (term > 0) {
      startScheduling(servedVersions);
    }
    versionGate.reset(servedVersions, clock.nowMillis());
  }

  /** Takes over what earlier leaders have committed, before this one leads. */
  void setCommitted(StreamOriginState.Snapshot origins, CrashSuspectState.Snapshot suspects) {
    originLog.setCommitted(origins);
    suspectLog.setCommitted(suspects);
  }

  private void startScheduling(Collection<ServiceVersion> servedVersions) {
    Logger.info(
        "started scheduling in term {}, rebuilding state for at most {} ms",
        term,
        MAX_REBUILD_MILLIS);
    long nowMillis = clock.nowMillis();
    retries = new SchedulerRetries();
    retries.start(catalog.revision() > 0, nowMillis);
    knowledge = SharedKnowledge.ofScheduler(retries);
    servedVersions.forEach(
        served ->
            knowledge.streamOrigins().recordServing(served.service(), served.version(), nowMillis));
    originLog.start(knowledge.streamOrigins(), nowMillis);
    suspectLog.start(knowledge.crashes(), nowMillis, clock.epochMillis());
    core = newCore();
    core.setCatalog(catalog);
    core.setEvacuated(evacuation.dataCentres(), nowMillis);
    evacuation.forgetUncommitted();
    registry = new BackendRegistry();
    gatewayViews.clear();
    lostGateways.clear();
    earlierGateways = new EarlierGateways(catalog.revision() > 0, nowMillis);
    viewVersion = 1;
    startedAtMillis = nowMillis;
    rebuilding = true;
    loop.schedule(this::endRebuildIfComplete, MIN_REBUILD_MILLIS, TimeUnit.MILLISECONDS);
    loop.schedule(this::endRebuildIfComplete, MAX_REBUILD_MILLIS, TimeUnit.MILLISECONDS);
    heartbeat(nowMillis);
    if (evacuation.revision() > 0) {
      logWhenInForce();
    }
    if (!tickScheduled) {
      tickScheduled = true;
      tick();
    }
  }

  private void stopScheduling() {
    Logger.info("stopped scheduling in term {}", term);
    SchedulerView.Builder view = SchedulerView.newBuilder().setTerm(term).setResigned(true);
    for (HostRecord gateway : gateways.get()) {
      sender.send(gateway.getName(), Envelope.newBuilder().setSchedulerView(view));
    }
    pendingAcknowledgements.failAll();
    deferredActions.clear();
    rebuilding = false;
  }

  /**
   * Ends the rebuild once every connected gateway has reported its state, but not before {@link
   * #MIN_REBUILD_MILLIS}; ends it in any case after {@link #MAX_REBUILD_MILLIS}.
   */
  private void endRebuildIfComplete() {
    long elapsedMillis = clock.nowMillis() - startedAtMillis;
    Collection<HostRecord> connected = gateways.get();
    boolean complete =
        elapsedMillis >= MIN_REBUILD_MILLIS
            && !connected.isEmpty()
            && connected.stream().allMatch(gateway -> viewOf(gateway).hasReportedState);
    if (rebuilding && (complete || elapsedMillis >= MAX_REBUILD_MILLIS)) {
      endRebuild();
    }
  }

  private void endRebuild() {
    rebuilding = false;
    List<Runnable> actions = List.copyOf(deferredActions);
    deferredActions.clear();
    viewVersion++;
    Logger.info("retries at the start of term {}, {}", term, retries.describe(clock.nowMillis()));
    actions.forEach(Runnable::run);
    sendFullViews();
    sendDecisions();
  }

  /** Runs an action now, or defers it until the state is rebuilt. */
  private void runAfterRebuild(Runnable action) {
    if (rebuilding) {
      deferredActions.add(action);
    } else {
      action.run();
    }
  }

  // ---- periodic work ----------------------------------------------------------------------------

  private void tick() {
    if (term == 0) {
      tickScheduled = false;
      return;
    }
    try {
      doPeriodicWork(clock.nowMillis());
    } catch (RuntimeException e) {
      // Without the next tick the leader would schedule nothing and send no heartbeats.
      Logger.error(e, "periodic work of the scheduler in term {} failed; it goes on", term);
    }
    long delayMillis =
        core.queuedRequests() > 0 ? QUEUED_TICK_INTERVAL_MILLIS : HEARTBEAT_INTERVAL_MILLIS;
    loop.schedule(this::tick, delayMillis, TimeUnit.MILLISECONDS);
  }

  private void doPeriodicWork(long nowMillis) {
    if (nowMillis - lastHeartbeatMillis >= HEARTBEAT_INTERVAL_MILLIS) {
      heartbeat(nowMillis);
      removeUnresponsiveBackends(nowMillis);
      versionGate.removeOutdated(registeredVersions(), nowMillis);
      originLog.write(core.servedVersions(nowMillis), catalog.servicesOnSharedRoutes(), nowMillis);
      suspectLog.write(nowMillis, clock.epochMillis());
    }
    publishColdServers();
    core.tick(nowMillis);
    core.drainReports(nowMillis).forEach(Logger::info);
    sendDecisions();
    completeAcknowledged();
  }

  private Set<ServiceVersion> registeredVersions() {
    return registry.all().stream().map(Scheduler::versionOf).collect(Collectors.toSet());
  }

  private static ServiceVersion versionOf(BackendRecord record) {
    return new ServiceVersion(record.getService(), record.getSoftwareVersion());
  }

  private void heartbeat(long nowMillis) {
    lastHeartbeatMillis = nowMillis;
    updateGatewayCounts(nowMillis);
    knowledge
        .capacities()
        .publishChanged(nowMillis)
        .forEach(change -> Logger.info("capacity changed: {}", change));
    sendViews();
  }

  private void sendViews() {
    Collection<HostRecord> connected = gateways.get();
    connected.forEach(gateway -> sendView(gateway, connected.size()));
  }

  /** Leaves lost gateways their share of the rates, and waits for what they may still run. */
  private void updateGatewayCounts(long nowMillis) {
    lostGateways.values().removeIf(lostAt -> nowMillis - lostAt > LOST_GATEWAY_SHARE_MILLIS);
    double connected = Math.max(1, gateways.get().size());
    double all = connected + lostGateways.size();
    knowledge.rateLimits().setShare(connected / all);
    boolean recent = nowMillis - startedAtMillis <= LOST_GATEWAY_SHARE_MILLIS;
    double allReported = recent ? Math.max(all, earlierGateways.mostLately()) : all;
    knowledge.rateLimits().coldServers().setShare(connected / allReported);
    knowledge.crashes().setKnowsAllRuns(earlierGateways.areRunsKnown(catalog, nowMillis));
  }

  private void sendView(HostRecord gateway, int gatewayCount) {
    GatewayView view = viewOf(gateway);
    boolean outdated = view.needsVersion(viewVersion, clock.nowMillis()) && !rebuilding;
    if (outdated && view.hasReportedState) {
      sendFullView(gateway, gatewayCount);
    } else {
      send(gateway, newView(view, gatewayCount));
    }
  }

  private void send(HostRecord gateway, SchedulerView.Builder view) {
    Envelope.Builder message = Envelope.newBuilder().setSchedulerView(view);
    if (!catalogDelivery.send(gateway.getName(), viewOf(gateway), message, clock)) {
      sender.send(gateway.getName(), message);
    }
  }

  /** Handles a new connection to a gateway: announces the scheduler to it without delay. */
  void gatewayConnected(HostRecord gateway) {
    lostGateways.remove(gateway.getName());
    if (term > 0) {
      sendView(gateway, gateways.get().size());
    }
  }

  private GatewayView viewOf(HostRecord gateway) {
    GatewayView view = gatewayViews.computeIfAbsent(gateway.getName(), name -> new GatewayView());
    if (view.incarnation != gateway.getIncarnation()) {
      view = new GatewayView();
      view.incarnation = gateway.getIncarnation();
      gatewayViews.put(gateway.getName(), view);
      core.removeGateway(gateway.getName(), clock.nowMillis());
    }
    return view;
  }

  /**
   * Returns what every message to a gateway holds, and what it lacks.
   *
   * @param gatewayCount number of connected gateways, which the caller determines once for all
   */
  private SchedulerView.Builder newView(GatewayView view, int gatewayCount) {
    SchedulerView.Builder builder =
        SchedulerView.newBuilder()
            .setTerm(term)
            .setCatalogRevision(catalog.revision())
            .setGateways(Math.max(1, gatewayCount))
            .setFullStatusRequested(!view.hasReportedState);
    evacuation.addTo(builder, view.evacuationRevision);
    if (view.crashEvidenceVersion < knowledge.crashes().version()) {
      builder.addAllCrashSuspects(
          knowledge.crashes().exportSince(view.crashEvidenceVersion, clock.nowMillis()));
      view.crashEvidenceVersion = knowledge.crashes().version();
    }
    if (view.rateLimitsVersion < knowledge.rateLimits().version() && !rebuilding) {
      view.rateLimitsVersion = knowledge.rateLimits().version();
      builder.setRateLimits(
          RateLimitList.newBuilder()
              .addAllLimits(knowledge.rateLimits().export(clock.nowMillis())));
    }
    addCapacities(builder, view);
    return builder;
  }

  /** Adds the learnt capacities that changed noticeably since they were last sent. */
  private void addCapacities(SchedulerView.Builder builder, GatewayView view) {
    long version = knowledge.capacities().version();
    // A gateway that has not reported its state may not know the backend servers yet.
    if (view.capacitiesVersion < version && view.hasReportedState && !rebuilding) {
      builder.addAllCapacities(
          knowledge.capacities().exportSince(view.capacitiesVersion, clock.nowMillis()));
      view.capacitiesVersion = version;
    }
  }

  private void sendFullViews() {
    Collection<HostRecord> connected = gateways.get();
    connected.forEach(gateway -> sendFullView(gateway, connected.size()));
  }

  private void sendFullView(HostRecord gateway, int gatewayCount) {
    GatewayView view = viewOf(gateway);
    view.recordVersionSent(viewVersion, clock.nowMillis());
    send(
        gateway,
        newView(view, gatewayCount)
            .setVersion(viewVersion)
            .addAllBackends(withColdTimes(registry.all()))
            .addAllGone(registry.removedIds())
            .addAllServedVersions(core.servedVersions(clock.nowMillis())));
  }

  private void removeUnresponsiveBackends(long nowMillis) {
    List<String> removedIds = registry.removeExpired(backendTimeoutMillis, nowMillis);
    if (removedIds.isEmpty()) {
      return;
    }
    Logger.info(
        "backend servers {} removed: no registration received for more than {} ms",
        removedIds,
        backendTimeoutMillis);
    removedIds.forEach(id -> core.removeBackend(id, nowMillis));
    pushChange(view -> view.addAllExpired(removedIds));
  }

  // ---- gateways ---------------------------------------------------------------------------------

  /** Handles a gateway's status: acknowledged versions and, if it is full, its open requests. */
  void handleStatus(HostRecord from, GatewayStatus status) {
    if (status.getTerm() != term || term == 0) {
      return;
    }
    long nowMillis = clock.nowMillis();
    GatewayView view = viewOf(from);
    view.version = status.getVersion();
    view.catalogRevision = Math.max(view.catalogRevision, status.getCatalogRevision());
    view.evacuationRevision = Math.max(view.evacuationRevision, status.getEvacuationRevision());
    if (status.getFull()) {
      core.replaceGateway(
          from.getName(), () -> restoreState(from, view, status, nowMillis), nowMillis);
      sendDecisions();
      view.hasReportedState = true;
      if (rebuilding) {
        endRebuildIfComplete();
      } else {
        sendFullView(from, gateways.get().size());
      }
    }
    completeAcknowledged();
  }

  private void restoreState(
      HostRecord from, GatewayView view, GatewayStatus status, long nowMillis) {
    // What was decided for the state before must not carry the number of the new one.
    sendDecisions();
    view.statusNumber = status.getNumber();
    view.rateLimitsVersion = 0;
    view.capacitiesVersion = 0;
    restore(from, status, nowMillis);
  }

  private void restore(HostRecord from, GatewayStatus status, long nowMillis) {
    earlierGateways.recordFullStatus(from.getName(), status);
    updateGatewayCounts(nowMillis);
    status.getGoneList().forEach(id -> registry.remove(id, nowMillis));
    for (BackendRecord record : status.getBackendsList()) {
      knowledge.rateLimits().coldServers().restore(record, nowMillis);
      BackendRecord changedBackend = registry.restore(record, nowMillis);
      if (changedBackend != null) {
        core.updateBackend(changedBackend, nowMillis);
        // Gateways know only published servers, whose versions are committed, unless a host with
        // older software published them.
        versionGate.whenCommitted(versionOf(changedBackend), accepted -> {});
        registry.earlierStarts(changedBackend).forEach(id -> removeBackend(id, nowMillis));
        evacuation.recordKnown(changedBackend.getDataCentre());
      }
    }
    status.getGoneList().forEach(id -> core.removeBackend(id, nowMillis));
    core.restoreCrashes(status.getCrashSuspectsList(), nowMillis);
    knowledge.rateLimits().merge(status.getRateLimitsList(), nowMillis);
    knowledge.restTimes().merge(from.getName(), status.getRestsList(), nowMillis);
    core.restoreStreams(status.getStreamOriginsList(), status.getServedVersionsList(), nowMillis);
    core.restoreCapacities(status.getCapacitiesList(), nowMillis);
    retries.restore(
        from.getName(),
        status.getRetryCountsList(),
        status.getRetryMemoryMillis(),
        Math.max(status.getMostGateways(), status.getMostGatewaysKnown()),
        retryLimits,
        nowMillis);
    for (RunningDispatch running : status.getOpenList()) {
      RequestId key = new RequestId(from.getName(), running.getAsk().getId());
      core.restoreRunning(key, running, nowMillis);
    }
  }

  /** Handles a gateway's placement requests, progress reports and ended requests. */
  void handleRequests(HostRecord from, DispatchRequests requests) {
    if (requests.getTerm() != term || term == 0) {
      return;
    }
    GatewayView view = gatewayViews.get(from.getName());
    long statusNumber = view == null ? 0 : view.statusNumber;
    runAfterRebuild(
        () -> {
          applyReports(from.getName(), requests);
          // Later full statuses replace what a gateway asked for before, also in an earlier
          // lifetime.
          if (view != null
              && view == gatewayViews.get(from.getName())
              && view.isState(from.getIncarnation(), statusNumber)) {
            applyRequests(from.getName(), requests);
          }
          sendDecisions();
        });
  }

  private void applyReports(String gateway, DispatchRequests requests) {
    long nowMillis = clock.nowMillis();
    requests.getCrashedBackendsList().forEach(backend -> handleCrash(gateway, backend, nowMillis));
    requests.getStatementsList().forEach(stated -> handleStatement(gateway, stated, nowMillis));
  }

  private void applyRequests(String gateway, DispatchRequests requests) {
    long nowMillis = clock.nowMillis();
    for (DispatchEnd end : requests.getEndsList()) {
      core.requestEnded(
          new RequestId(gateway, end.getId()), end.getOutcome(), end.getOutputTokens(), nowMillis);
    }
    for (DispatchProgress progress : requests.getProgressList()) {
      core.outputProgressed(
          new RequestId(gateway, progress.getId()), progress.getOutputTokens(), nowMillis);
    }
    // Without the lease another leader may have published versions that are not known here.
    knowledge.streamOrigins().setComplete(hasLease.getAsBoolean());
    DispatchOrders.Builder queuedOrders = newOrders(gateway);
    for (PlacementRequest placementRequest : requests.getAsksList()) {
      RequestId key = new RequestId(gateway, placementRequest.getId());
      if (core.isQueued(key) || core.isRunning(key)) {
        String state = core.isQueued(key) ? "is queued" : "runs";
        repeatedRequests.record(gateway, key.id(), state, nowMillis);
      }
      core.submit(key, placementRequest, nowMillis);
      if (core.isQueued(key)) {
        queuedOrders.addWaiting(placementRequest.getId());
      }
    }
    sendDecisions();
    if (queuedOrders.getWaitingCount() > 0) {
      sender.send(gateway, Envelope.newBuilder().setDispatchOrders(queuedOrders));
    }
  }

  private void handleCrash(String gateway, String backend, long nowMillis) {
    long versionBefore = knowledge.crashes().version();
    core.backendCrashed(backend, nowMillis);
    if (knowledge.crashes().version() == versionBefore) {
      return;
    }
    Logger.info(
        "backend server {} crashed, as gateway {} reports; blocked prompt parts: {},"
            + " blocked requests by fingerprint: {}",
        backend,
        gateway,
        knowledge.crashes().blockedParts(nowMillis),
        knowledge.crashes().blockedRequests(nowMillis));
    sendViews();
  }

  private void handleStatement(String gateway, BackendStatement statement, long nowMillis) {
    if (statement.getLeaving()) {
      handleLeaving(gateway, statement.getBackend(), nowMillis);
    } else if (statement.getRestMillis() > 0) {
      handleRest(gateway, statement, nowMillis);
    } else if (statement.getSlownessPercent() > 0) {
      core.slownessStated(statement.getBackend(), statement.getSlownessPercent(), nowMillis);
    } else {
      handleRateLimit(gateway, statement, nowMillis);
    }
  }

  private void handleRest(String gateway, BackendStatement statement, long nowMillis) {
    Logger.info(
        "backend server {} states to gateway {} that it wants no requests from it for {} ms",
        statement.getBackend(),
        gateway,
        statement.getRestMillis());
    long untilMillis = nowMillis + statement.getRestMillis();
    knowledge.restTimes().state(gateway, statement.getBackend(), untilMillis, nowMillis);
  }

  private void handleLeaving(String gateway, String backend, long nowMillis) {
    BackendRecord changed = registry.recordLeaving(backend, nowMillis);
    if (changed == null) {
      return;
    }
    Logger.info("backend server {} states to gateway {} that it leaves", backend, gateway);
    core.updateBackend(changed, nowMillis);
    pushBackendChange(List.of(changed), List.of());
  }

  private void handleRateLimit(String gateway, BackendStatement statement, long nowMillis) {
    RequestId requestId = new RequestId(gateway, statement.getId());
    String backend = statement.getBackend();
    if (statement.getLimited()) {
      double requestsPerSecond = statement.getRequestsPerSecond();
      if (core.rateLimitStated(requestId, backend, requestsPerSecond, nowMillis)) {
        Logger.info(
            "backend server {} states a limit of {} requests/s to gateway {} (request {})",
            backend,
            requestsPerSecond,
            gateway,
            statement.getId());
      }
    } else if (core.noRateLimitStated(requestId, backend, nowMillis)) {
      Logger.info(
          "backend server {} no longer states a limit on requests to gateway {} (request {})",
          backend,
          gateway,
          statement.getId());
    }
  }

  /** Handles the loss of the connection to a gateway: discards its requests. */
  void gatewayDisconnected(HostRecord gateway) {
    if (term > 0) {
      gatewayViews.remove(gateway.getName());
      lostGateways.put(gateway.getName(), clock.nowMillis());
      updateGatewayCounts(clock.nowMillis());
      core.removeGateway(gateway.getName(), clock.nowMillis());
      sendDecisions();
      completeAcknowledged();
    }
  }

  private DispatchOrders.Builder newOrders(String gateway) {
    GatewayView view = gatewayViews.get(gateway);
    return DispatchOrders.newBuilder()
        .setTerm(term)
        .setStatusNumber(view == null ? 0 : view.statusNumber);
  }

  private void sendDecisions() {
    core.drainVersionDecisions().forEach(line -> Logger.info("{}", line));
    GatewayOrders orders = new GatewayOrders(this::newOrders, retries::isOnReserve);
    core.drainDecisions().forEach(orders::add);
    orders
        .byGateway()
        .forEach(
            (gateway, message) ->
                sender.send(gateway, Envelope.newBuilder().setDispatchOrders(message)));
  }

  // ---- backend servers --------------------------------------------------------------------------

  /**
   * Handles a registration. The callback runs once the registration may be acknowledged: for a
   * leaving backend server, when every gateway has acknowledged the change, else once its software
   * version is committed.
   */
  void register(BackendRecord registration, Consumer<Boolean> callback) {
    if (term == 0) {
      callback.accept(false);
      return;
    }
    runAfterRebuild(
        () -> {
          // Requests for an earlier start reach the new one, whose version is not committed yet.
          removeEarlierStarts(registration);
          versionGate.whenCommitted(
              versionOf(registration),
              committed -> {
                if (committed) {
                  applyRegistration(registration, callback);
                } else {
                  callback.accept(false);
                }
              });
        });
  }

  private void removeEarlierStarts(BackendRecord registration) {
    List<String> earlierStarts = registry.earlierStarts(registration);
    if (!earlierStarts.isEmpty()) {
      earlierStarts.forEach(id -> removeBackend(id, clock.nowMillis()));
      pushBackendChange(List.of(), earlierStarts);
    }
  }

  private void applyRegistration(BackendRecord registration, Consumer<Boolean> callback) {
    long nowMillis = clock.nowMillis();
    evacuation.recordKnown(registration.getDataCentre());
    BackendRecord changed = registry.register(registration, nowMillis);
    if (changed == null && core.isColdUntilRegistered(registration.getId())) {
      changed = registry.get(registration.getId());
    }
    if (changed != null) {
      Logger.info(
          "backend server {} of service {} with software version \"{}\" {}, cold for {} ms",
          changed.getId(),
          changed.getService(),
          changed.getSoftwareVersion(),
          changed.getLeaving() ? "is leaving" : "registered",
          changed.getColdLeftMillis());
      core.updateBackend(changed, nowMillis);
      List<String> earlierStarts = registry.earlierStarts(changed);
      earlierStarts.forEach(id -> removeBackend(id, nowMillis));
      pushBackendChange(List.of(changed), earlierStarts);
    }
    if (registration.getLeaving()) {
      notifyWhenActive(ActiveVersions.ofBackends(viewVersion), callback);
    } else {
      callback.accept(true);
    }
  }

  /**
   * Deregisters a backend server. The callback runs once every gateway has acknowledged the change.
   */
  void deregister(String name, Consumer<Boolean> callback) {
    if (term == 0) {
      callback.accept(false);
      return;
    }
    runAfterRebuild(
        () -> {
          String id = registry.registeredId(name);
          if (removeBackend(id, clock.nowMillis())) {
            Logger.info("backend server {} deregistered", id);
            pushBackendChange(List.of(), List.of(id));
          }
          notifyWhenActive(ActiveVersions.ofBackends(viewVersion), callback);
        });
  }

  /** Removes a backend server for good; returns whether it was registered. */
  private boolean removeBackend(String id, long nowMillis) {
    boolean registered = registry.remove(id, nowMillis);
    if (registered) {
      core.removeBackend(id, nowMillis);
    }
    return registered;
  }

  private void pushBackendChange(List<BackendRecord> changed, List<String> removedIds) {
    List<BackendRecord> current = withColdTimes(changed);
    pushChange(view -> view.addAllBackends(current).addAllGone(removedIds));
  }

  private List<BackendRecord> withColdTimes(Collection<BackendRecord> records) {
    return knowledge.rateLimits().coldServers().withColdTimes(records, clock.nowMillis());
  }

  /** Sends the gateways the backend servers that count as cold though they did not register so. */
  private void publishColdServers() {
    List<BackendRecord> changed =
        knowledge.rateLimits().coldServers().takeUnpublished().stream()
            .map(registry::get)
            .filter(Objects::nonNull)
            .toList();
    if (!changed.isEmpty()) {
      pushBackendChange(changed, List.of());
    }
  }

  /** Sends every gateway a change of the backend servers, without those that stay the same. */
  private void pushChange(Consumer<SchedulerView.Builder> change) {
    long previousVersion = viewVersion;
    viewVersion++;
    Collection<HostRecord> connected = gateways.get();
    for (HostRecord gateway : connected) {
      GatewayView view = viewOf(gateway);
      view.recordVersionSent(viewVersion, clock.nowMillis());
      SchedulerView.Builder message =
          newView(view, connected.size()).setVersion(viewVersion).setBaseVersion(previousVersion);
      change.accept(message);
      send(gateway, message);
    }
    sendDecisions();
  }

  // ---- catalog ----------------------------------------------------------------------------------

  /** Activates a committed catalog here and sends it to the gateways. */
  void applyCatalog(Catalog newCatalog, ByteString newDocument) {
    if (newCatalog.revision() <= catalog.revision()) {
      return;
    }
    catalog = newCatalog;
    catalogDelivery.replace(newCatalog.revision(), newDocument);
    core.setCatalog(newCatalog);
    if (term > 0) {
      Collection<HostRecord> connected = gateways.get();
      connected.forEach(gateway -> send(gateway, newView(viewOf(gateway), connected.size())));
    }
  }

  /** Runs the callback once every gateway has activated the catalog revision. */
  void notifyWhenCatalogActive(long revision, Consumer<Boolean> callback) {
    if (term == 0) {
      callback.accept(false);
    } else {
      notifyWhenActive(ActiveVersions.ofCatalog(revision), callback);
    }
  }

  // ---- evacuation -------------------------------------------------------------------------------

  /**
   * Takes over a committed state of the evacuated data centres, also before this host leads, and
   * publishes it to the gateways.
   */
  void setEvacuation(EvacuationState.Snapshot committed) {
    if (!evacuation.update(committed) || term == 0) {
      return;
    }
    core.setEvacuated(evacuation.dataCentres(), clock.nowMillis());
    // Gateways must know which servers may be cold before they learn that the evacuation ended.
    publishColdServers();
    sendViews();
    sendDecisions();
    logWhenInForce();
  }

  private void logWhenInForce() {
    long revision = evacuation.revision();
    Set<String> dataCentres = evacuation.dataCentres();
    notifyWhenEvacuated(
        revision,
        inForce -> {
          if (inForce) {
            EvacuationOrders.logInForce(dataCentres, revision, gateways.get().size());
          }
        });
  }

  /**
   * Runs the callback once every gateway has applied the revision of the evacuated data centres.
   */
  void notifyWhenEvacuated(long revision, Consumer<Boolean> callback) {
    if (term == 0) {
      callback.accept(false);
    } else {
      notifyWhenActive(ActiveVersions.ofEvacuation(revision), callback);
    }
  }

  // ---- acknowledgements -------------------------------------------------------------------------

  private void notifyWhenActive(ActiveVersions required, Consumer<Boolean> callback) {
    pendingAcknowledgements.add(required, callback);
    completeAcknowledged();
  }

  private void completeAcknowledged() {
    if (pendingAcknowledgements.isEmpty()) {
      return;
    }
    if (!hasLease.getAsBoolean()) {
      // Gateways may follow another scheduler by now, and only seem to be gone.
      pendingAcknowledgements.failAll();
      return;
    }
    ActiveVersions active = ActiveVersions.UNBOUNDED;
    for (HostRecord gateway : gateways.get()) {
      active = active.least(viewOf(gateway).active());
    }
    pendingAcknowledgements.complete(active);
  }
}
