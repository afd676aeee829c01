package org.curranthaven.internal.scheduler;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.dispatch.BackendRegistry;
import org.curranthaven.internal.dispatch.DispatchCore;
import org.curranthaven.internal.dispatch.DispatchDecision;
import org.curranthaven.internal.dispatch.RequestId;
import org.curranthaven.internal.dispatch.RetryLimits;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.DispatchEnd;
import org.curranthaven.internal.transport.wire.DispatchOrders;
import org.curranthaven.internal.transport.wire.DispatchProgress;
import org.curranthaven.internal.transport.wire.DispatchRequests;
import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.GatewayStatus;
import org.curranthaven.internal.transport.wire.HostRecord;
import org.curranthaven.internal.transport.wire.Move;
import org.curranthaven.internal.transport.wire.OpenDispatch;
import org.curranthaven.internal.transport.wire.Placement;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.curranthaven.internal.transport.wire.Refusal;
import org.curranthaven.internal.transport.wire.SchedulerView;
import org.tinylog.Logger;

/**
 * Schedules the calls of all gateways while its host leads group 0. Its state is soft: a new
 * scheduler rebuilds it from the gateways. Used on the event loop only.
 */
final class Scheduler {
  private static final long HEARTBEAT_INTERVAL_MILLIS = 130;
  private static final long QUEUED_TICK_INTERVAL_MILLIS = 40;

  /** Longest time for which a new scheduler waits for the gateways to tell what they have open. */
  private static final long MAX_REBUILD_MILLIS = 250;

  /** Shortest such time: gateways that lost their connection with the old scheduler come back. */
  static final long MIN_REBUILD_MILLIS = 100;

  private final EventLoop loop;
  private final Clock clock;
  private final RandomGenerator random;
  private final RetryLimits retryLimits;
  private final long backendTimeoutMillis;
  private final Supplier<Collection<HostRecord>> gateways;
  private final BiConsumer<String, Envelope.Builder> sender;
  private final Map<String, GatewayView> gatewayViews = new HashMap<>();
  private final List<PendingAcknowledgement> pendingAcknowledgements = new ArrayList<>();
  private final List<Runnable> deferredActions = new ArrayList<>();
  private Catalog catalog = Catalog.empty();
  private ByteString catalogDocument = ByteString.EMPTY;
  private DispatchCore core;
  private BackendRegistry registry = new BackendRegistry();
  private long term;
  private long viewVersion;
  private long startedAtMillis;
  private boolean rebuilding;
  private long lastHeartbeatMillis;
  private boolean tickScheduled;

  /** What is known of a gateway. */
  private static final class GatewayView {
    long version;
    long catalogRevision;
    boolean synced;
    long incarnation;
  }

  /** Something that is answered once every gateway has the news. */
  private record PendingAcknowledgement(
      long version, long catalogRevision, Consumer<Boolean> callback) {}

  Scheduler(
      EventLoop loop,
      Clock clock,
      RandomGenerator random,
      RetryLimits retryLimits,
      long backendSilenceMillis,
      Supplier<Collection<HostRecord>> gateways,
      BiConsumer<String, Envelope.Builder> sender) {
    this.loop = loop;
    this.clock = clock;
    this.random = random;
    this.retryLimits = retryLimits;
    this.backendTimeoutMillis = backendSilenceMillis;
    this.gateways = gateways;
    this.sender = sender;
    this.core = new DispatchCore(retryLimits, 1, random);
  }

  boolean isLeading() {
    return term > 0;
  }

  // ---- leadership -------------------------------------------------------------------------------

  /** Begins to schedule in a term, or ceases to if it is 0. */
  void setTerm(long newTerm) {
    if (term > 0) {
      stopScheduling();
    }
    term = newTerm;
    if (term > 0) {
      startScheduling();
    }
  }

  private void startScheduling() {
    Logger.info("scheduling in term {}", term);
    long nowMillis = clock.nowMillis();
    core = new DispatchCore(retryLimits, 1, random);
    core.setCatalog(catalog);
    registry = new BackendRegistry();
    gatewayViews.clear();
    viewVersion = 1;
    startedAtMillis = nowMillis;
    rebuilding = true;
    loop.schedule(this::endRebuildIfComplete, MIN_REBUILD_MILLIS, TimeUnit.MILLISECONDS);
    loop.schedule(this::endRebuildIfComplete, MAX_REBUILD_MILLIS, TimeUnit.MILLISECONDS);
    heartbeat(nowMillis);
    if (!tickScheduled) {
      tickScheduled = true;
      tick();
    }
  }

  private void stopScheduling() {
    Logger.info("no longer scheduling in term {}", term);
    SchedulerView.Builder view = SchedulerView.newBuilder().setTerm(term).setResigned(true);
    for (HostRecord gateway : gateways.get()) {
      sender.accept(gateway.getName(), Envelope.newBuilder().setSchedulerView(view));
    }
    List<PendingAcknowledgement> open = List.copyOf(pendingAcknowledgements);
    pendingAcknowledgements.clear();
    open.forEach(waiter -> waiter.callback().accept(false));
    deferredActions.clear();
    rebuilding = false;
  }

  /** Ends the rebuilding once every connected gateway has told its state, or its time is up. */
  private void endRebuildIfComplete() {
    long tookMillis = clock.nowMillis() - startedAtMillis;
    Collection<HostRecord> connected = gateways.get();
    boolean informed =
        tookMillis >= MIN_REBUILD_MILLIS
            && !connected.isEmpty()
            && connected.stream().allMatch(gateway -> viewOf(gateway).synced);
    if (rebuilding && (informed || tookMillis >= MAX_REBUILD_MILLIS)) {
      endRebuild();
    }
  }

  private void endRebuild() {
    rebuilding = false;
    List<Runnable> ready = List.copyOf(deferredActions);
    deferredActions.clear();
    viewVersion++;
    ready.forEach(Runnable::run);
    for (HostRecord gateway : gateways.get()) {
      sendFullView(gateway);
    }
    sendDecisions();
  }

  /** Runs an action now, or once the state is rebuilt. */
  private void runAfterRebuild(Runnable action) {
    if (rebuilding) {
      deferredActions.add(action);
    } else {
      action.run();
    }
  }

  // ---- time -------------------------------------------------------------------------------------

  private void tick() {
    if (term == 0) {
      tickScheduled = false;
      return;
    }
    long nowMillis = clock.nowMillis();
    if (nowMillis - lastHeartbeatMillis >= HEARTBEAT_INTERVAL_MILLIS) {
      heartbeat(nowMillis);
      removeUnresponsiveBackends(nowMillis);
    }
    core.tick(nowMillis);
    sendDecisions();
    completeAcknowledged();
    long delay =
        core.queuedRequests() > 0 ? QUEUED_TICK_INTERVAL_MILLIS : HEARTBEAT_INTERVAL_MILLIS;
    loop.schedule(this::tick, delay, TimeUnit.MILLISECONDS);
  }

  private void heartbeat(long nowMillis) {
    lastHeartbeatMillis = nowMillis;
    gateways.get().forEach(this::sendView);
  }

  private void sendView(HostRecord gateway) {
    GatewayView view = viewOf(gateway);
    boolean behind = view.version < viewVersion && !rebuilding;
    if (behind && view.synced) {
      sendFullView(gateway);
    } else {
      sender.accept(gateway.getName(), Envelope.newBuilder().setSchedulerView(newView(view)));
    }
  }

  /** Called when a connection to a gateway is up: it is told who schedules without waiting. */
  void gatewayConnected(HostRecord gateway) {
    if (term > 0) {
      sendView(gateway);
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

  private SchedulerView.Builder newView(GatewayView view) {
    SchedulerView.Builder builder =
        SchedulerView.newBuilder()
            .setTerm(term)
            .setCatalogRevision(catalog.revision())
            .setGateways(Math.max(1, gateways.get().size()));
    if (view.catalogRevision < catalog.revision()) {
      builder.setCatalog(catalogDocument);
    }
    return builder;
  }

  private void sendFullView(HostRecord gateway) {
    SchedulerView.Builder builder =
        newView(viewOf(gateway))
            .setVersion(viewVersion)
            .addAllBackends(registry.all())
            .addAllGone(registry.removedIds());
    sender.accept(gateway.getName(), Envelope.newBuilder().setSchedulerView(builder));
  }

  private void removeUnresponsiveBackends(long nowMillis) {
    List<String> silent = registry.removeExpired(backendTimeoutMillis, nowMillis);
    if (silent.isEmpty()) {
      return;
    }
    Logger.info("backend servers {} are silent", silent);
    silent.forEach(id -> core.removeBackend(id, nowMillis));
    viewVersion++;
    gateways.get().forEach(this::sendFullView);
    sendDecisions();
  }

  // ---- gateways ---------------------------------------------------------------------------------

  /** Takes in a gateway's status. */
  void handleStatus(HostRecord from, GatewayStatus status) {
    if (status.getTerm() != term || term == 0) {
      return;
    }
    long nowMillis = clock.nowMillis();
    GatewayView view = viewOf(from);
    view.version = status.getVersion();
    view.catalogRevision = Math.max(view.catalogRevision, status.getCatalogRevision());
    if (status.getFull()) {
      restore(from, status, nowMillis);
      view.synced = true;
      if (rebuilding) {
        endRebuildIfComplete();
      } else {
        sendFullView(from);
      }
    }
    completeAcknowledged();
  }

  private void restore(HostRecord from, GatewayStatus status, long nowMillis) {
    status.getGoneList().forEach(id -> registry.remove(id, nowMillis));
    for (BackendRecord record : status.getBackendsList()) {
      BackendRecord changed = registry.restore(record, nowMillis);
      if (changed != null) {
        core.updateBackend(changed, nowMillis);
      }
    }
    status.getGoneList().forEach(id -> core.removeBackend(id, nowMillis));
    core.removeGateway(from.getName(), nowMillis);
    for (OpenDispatch open : status.getOpenList()) {
      RequestId key = new RequestId(from.getName(), open.getAsk().getId());
      core.restoreRunning(key, open.getAsk(), open.getBackend(), open.getOutputTokens(), nowMillis);
    }
    sendDecisions();
  }

  /** Takes in calls to place, and what became of others. */
  void handleRequests(HostRecord from, DispatchRequests requests) {
    if (requests.getTerm() != term || term == 0) {
      return;
    }
    runAfterRebuild(() -> applyRequests(from.getName(), requests));
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
    DispatchOrders.Builder waiting = DispatchOrders.newBuilder().setTerm(term);
    for (PlacementRequest ask : requests.getAsksList()) {
      RequestId key = new RequestId(gateway, ask.getId());
      core.submit(key, ask, nowMillis);
      if (core.isQueued(key)) {
        waiting.addWaiting(ask.getId());
      }
    }
    sendDecisions();
    if (waiting.getWaitingCount() > 0) {
      sender.accept(gateway, Envelope.newBuilder().setDispatchOrders(waiting));
    }
  }

  /** Called when the connection to a gateway is gone. */
  void gatewayDisconnected(HostRecord gateway) {
    if (term > 0) {
      gatewayViews.remove(gateway.getName());
      core.removeGateway(gateway.getName(), clock.nowMillis());
      sendDecisions();
      completeAcknowledged();
    }
  }

  private void sendDecisions() {
    Map<String, DispatchOrders.Builder> orders = new LinkedHashMap<>();
    for (DispatchDecision decision : core.drainDecisions()) {
      DispatchOrders.Builder order =
          orders.computeIfAbsent(
              decision.key().gateway(), name -> DispatchOrders.newBuilder().setTerm(term));
      switch (decision) {
        case DispatchDecision.Place place ->
            order.addPlacements(
                Placement.newBuilder()
                    .setId(place.key().id())
                    .setBackend(place.backend())
                    .setUrgency(place.urgency())
                    .setBackup(place.backup()));
        case DispatchDecision.Reject refuse ->
            order.addRefusals(
                Refusal.newBuilder()
                    .setId(refuse.key().id())
                    .setRetryAfterMillis(refuse.retryAfterMillis())
                    .setReason(refuse.reason().name()));
        case DispatchDecision.Migrate move ->
            order.addMoves(
                Move.newBuilder()
                    .setId(move.key().id())
                    .setTarget(move.target())
                    .setBackup(move.backup()));
      }
    }
    orders.forEach(
        (gateway, order) -> sender.accept(gateway, Envelope.newBuilder().setDispatchOrders(order)));
  }

  // ---- backend servers --------------------------------------------------------------------------

  /** Takes in a registration; the answer comes once it may be acknowledged. */
  void register(BackendRecord news, Consumer<Boolean> answer) {
    if (term == 0) {
      answer.accept(false);
      return;
    }
    runAfterRebuild(
        () -> {
          long nowMillis = clock.nowMillis();
          BackendRecord changed = registry.register(news, nowMillis);
          if (changed != null) {
            Logger.info(
                "backend server {} of {} {}",
                changed.getId(),
                changed.getService(),
                changed.getLeaving() ? "leaves" : "registered");
            core.updateBackend(changed, nowMillis);
            pushBackendChange(List.of(changed), List.of());
          }
          if (news.getLeaving()) {
            notifyWhenAcknowledged(viewVersion, 0, answer);
          } else {
            answer.accept(true);
          }
        });
  }

  /** Notes that a backend server is gone; the answer comes once every gateway knows. */
  void withdraw(String id, Consumer<Boolean> answer) {
    if (term == 0) {
      answer.accept(false);
      return;
    }
    runAfterRebuild(
        () -> {
          long nowMillis = clock.nowMillis();
          if (registry.remove(id, nowMillis)) {
            Logger.info("backend server {} is gone", id);
            core.removeBackend(id, nowMillis);
            pushBackendChange(List.of(), List.of(id));
          }
          notifyWhenAcknowledged(viewVersion, 0, answer);
        });
  }

  private void pushBackendChange(List<BackendRecord> changed, List<String> gone) {
    long before = viewVersion;
    viewVersion++;
    for (HostRecord gateway : gateways.get()) {
      GatewayView view = viewOf(gateway);
      SchedulerView.Builder builder =
          newView(view)
              .setVersion(viewVersion)
              .setBaseVersion(before)
              .addAllBackends(changed)
              .addAllGone(gone);
      sender.accept(gateway.getName(), Envelope.newBuilder().setSchedulerView(builder));
    }
    sendDecisions();
  }

  // ---- catalog ----------------------------------------------------------------------------------

  /** Puts a committed catalog into force and tells the gateways. */
  void applyCatalog(Catalog newer, ByteString newDocument) {
    if (newer.revision() <= catalog.revision()) {
      return;
    }
    catalog = newer;
    catalogDocument = newDocument;
    core.setCatalog(newer);
    if (term > 0) {
      for (HostRecord gateway : gateways.get()) {
        sender.accept(
            gateway.getName(), Envelope.newBuilder().setSchedulerView(newView(viewOf(gateway))));
      }
    }
  }

  /** Answers once every gateway has the revision in force. */
  void notifyWhenCatalogActive(long revision, Consumer<Boolean> answer) {
    if (term == 0) {
      answer.accept(false);
    } else {
      notifyWhenAcknowledged(0, revision, answer);
    }
  }

  private void notifyWhenAcknowledged(long wantedVersion, long revision, Consumer<Boolean> answer) {
    pendingAcknowledgements.add(new PendingAcknowledgement(wantedVersion, revision, answer));
    completeAcknowledged();
  }

  private void completeAcknowledged() {
    if (pendingAcknowledgements.isEmpty()) {
      return;
    }
    long leastVersion = Long.MAX_VALUE;
    long leastRevision = Long.MAX_VALUE;
    for (HostRecord gateway : gateways.get()) {
      GatewayView view = viewOf(gateway);
      leastVersion = Math.min(leastVersion, view.version);
      leastRevision = Math.min(leastRevision, view.catalogRevision);
    }
    for (PendingAcknowledgement waiter : List.copyOf(pendingAcknowledgements)) {
      if (waiter.version() <= leastVersion && waiter.catalogRevision() <= leastRevision) {
        pendingAcknowledgements.remove(waiter);
        waiter.callback().accept(true);
      }
    }
  }
}
