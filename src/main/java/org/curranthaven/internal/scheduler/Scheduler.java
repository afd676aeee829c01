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
  private static final long HEARTBEAT_MILLIS = 130;
  private static final long WAITING_TICK_MILLIS = 40;

  /** Longest time for which a new scheduler waits for the gateways to tell what they have open. */
  private static final long REBUILD_MILLIS = 250;

  /** Shortest such time: gateways that lost their connection with the old scheduler come back. */
  static final long MIN_REBUILD_MILLIS = 100;

  private final EventLoop loop;
  private final Clock clock;
  private final RandomGenerator random;
  private final RetryLimits retryLimits;
  private final long backendSilenceMillis;
  private final Supplier<Collection<HostRecord>> gateways;
  private final BiConsumer<String, Envelope.Builder> sender;
  private final Map<String, GatewayView> views = new HashMap<>();
  private final List<Waiter> waiters = new ArrayList<>();
  private final List<Runnable> held = new ArrayList<>();
  private Catalog catalog = Catalog.empty();
  private ByteString document = ByteString.EMPTY;
  private DispatchCore core;
  private BackendRegistry table = new BackendRegistry();
  private long term;
  private long version;
  private long begunAtMillis;
  private boolean rebuilding;
  private long lastHeartbeatMillis;
  private boolean ticking;

  /** What is known of a gateway. */
  private static final class GatewayView {
    long version;
    long catalogRevision;
    boolean synced;
    long incarnation;
  }

  /** Something that is answered once every gateway has the news. */
  private record Waiter(long version, long catalogRevision, Consumer<Boolean> answer) {}

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
    this.backendSilenceMillis = backendSilenceMillis;
    this.gateways = gateways;
    this.sender = sender;
    this.core = new DispatchCore(retryLimits, 1, random);
  }

  boolean leads() {
    return term > 0;
  }

  // ---- leadership -------------------------------------------------------------------------------

  /** Begins to schedule in a term, or ceases to if it is 0. */
  void lead(long newTerm) {
    if (term > 0) {
      stop();
    }
    term = newTerm;
    if (term > 0) {
      begin();
    }
  }

  private void begin() {
    Logger.info("scheduling in term {}", term);
    long nowMillis = clock.nowMillis();
    core = new DispatchCore(retryLimits, 1, random);
    core.setCatalog(catalog);
    table = new BackendRegistry();
    views.clear();
    version = 1;
    begunAtMillis = nowMillis;
    rebuilding = true;
    loop.schedule(this::endRebuildIfInformed, MIN_REBUILD_MILLIS, TimeUnit.MILLISECONDS);
    loop.schedule(this::endRebuildIfInformed, REBUILD_MILLIS, TimeUnit.MILLISECONDS);
    heartbeat(nowMillis);
    if (!ticking) {
      ticking = true;
      tick();
    }
  }

  private void stop() {
    Logger.info("no longer scheduling in term {}", term);
    SchedulerView.Builder view = SchedulerView.newBuilder().setTerm(term).setResigned(true);
    for (HostRecord gateway : gateways.get()) {
      sender.accept(gateway.getName(), Envelope.newBuilder().setSchedulerView(view));
    }
    List<Waiter> open = List.copyOf(waiters);
    waiters.clear();
    open.forEach(waiter -> waiter.answer().accept(false));
    held.clear();
    rebuilding = false;
  }

  /** Ends the rebuilding once every connected gateway has told its state, or its time is up. */
  private void endRebuildIfInformed() {
    long tookMillis = clock.nowMillis() - begunAtMillis;
    Collection<HostRecord> connected = gateways.get();
    boolean informed =
        tookMillis >= MIN_REBUILD_MILLIS
            && !connected.isEmpty()
            && connected.stream().allMatch(gateway -> viewOf(gateway).synced);
    if (rebuilding && (informed || tookMillis >= REBUILD_MILLIS)) {
      endRebuild();
    }
  }

  private void endRebuild() {
    rebuilding = false;
    List<Runnable> ready = List.copyOf(held);
    held.clear();
    version++;
    ready.forEach(Runnable::run);
    for (HostRecord gateway : gateways.get()) {
      sendFull(gateway);
    }
    flush();
  }

  /** Runs an action now, or once the state is rebuilt. */
  private void whenRebuilt(Runnable action) {
    if (rebuilding) {
      held.add(action);
    } else {
      action.run();
    }
  }

  // ---- time -------------------------------------------------------------------------------------

  private void tick() {
    if (term == 0) {
      ticking = false;
      return;
    }
    long nowMillis = clock.nowMillis();
    if (nowMillis - lastHeartbeatMillis >= HEARTBEAT_MILLIS) {
      heartbeat(nowMillis);
      dropSilent(nowMillis);
    }
    core.tick(nowMillis);
    flush();
    checkWaiters();
    long delay = core.queuedRequests() > 0 ? WAITING_TICK_MILLIS : HEARTBEAT_MILLIS;
    loop.schedule(this::tick, delay, TimeUnit.MILLISECONDS);
  }

  private void heartbeat(long nowMillis) {
    lastHeartbeatMillis = nowMillis;
    gateways.get().forEach(this::tellView);
  }

  private void tellView(HostRecord gateway) {
    GatewayView view = viewOf(gateway);
    boolean behind = view.version < version && !rebuilding;
    if (behind && view.synced) {
      sendFull(gateway);
    } else {
      sender.accept(gateway.getName(), Envelope.newBuilder().setSchedulerView(base(view)));
    }
  }

  /** Called when a connection to a gateway is up: it is told who schedules without waiting. */
  void gatewayConnected(HostRecord gateway) {
    if (term > 0) {
      tellView(gateway);
    }
  }

  private GatewayView viewOf(HostRecord gateway) {
    GatewayView view = views.computeIfAbsent(gateway.getName(), name -> new GatewayView());
    if (view.incarnation != gateway.getIncarnation()) {
      view = new GatewayView();
      view.incarnation = gateway.getIncarnation();
      views.put(gateway.getName(), view);
      core.removeGateway(gateway.getName(), clock.nowMillis());
    }
    return view;
  }

  private SchedulerView.Builder base(GatewayView view) {
    SchedulerView.Builder builder =
        SchedulerView.newBuilder()
            .setTerm(term)
            .setCatalogRevision(catalog.revision())
            .setGateways(Math.max(1, gateways.get().size()));
    if (view.catalogRevision < catalog.revision()) {
      builder.setCatalog(document);
    }
    return builder;
  }

  private void sendFull(HostRecord gateway) {
    SchedulerView.Builder builder =
        base(viewOf(gateway))
            .setVersion(version)
            .addAllBackends(table.all())
            .addAllGone(table.removedIds());
    sender.accept(gateway.getName(), Envelope.newBuilder().setSchedulerView(builder));
  }

  private void dropSilent(long nowMillis) {
    List<String> silent = table.removeExpired(backendSilenceMillis, nowMillis);
    if (silent.isEmpty()) {
      return;
    }
    Logger.info("backend servers {} are silent", silent);
    silent.forEach(id -> core.removeBackend(id, nowMillis));
    version++;
    gateways.get().forEach(this::sendFull);
    flush();
  }

  // ---- gateways ---------------------------------------------------------------------------------

  /** Takes in a gateway's status. */
  void received(HostRecord from, GatewayStatus status) {
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
        endRebuildIfInformed();
      } else {
        sendFull(from);
      }
    }
    checkWaiters();
  }

  private void restore(HostRecord from, GatewayStatus status, long nowMillis) {
    status.getGoneList().forEach(id -> table.remove(id, nowMillis));
    for (BackendRecord record : status.getBackendsList()) {
      BackendRecord changed = table.restore(record, nowMillis);
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
    flush();
  }

  /** Takes in calls to place, and what became of others. */
  void received(HostRecord from, DispatchRequests requests) {
    if (requests.getTerm() != term || term == 0) {
      return;
    }
    whenRebuilt(() -> handle(from.getName(), requests));
  }

  private void handle(String gateway, DispatchRequests requests) {
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
    flush();
    if (waiting.getWaitingCount() > 0) {
      sender.accept(gateway, Envelope.newBuilder().setDispatchOrders(waiting));
    }
  }

  /** Called when the connection to a gateway is gone. */
  void gatewayGone(HostRecord gateway) {
    if (term > 0) {
      views.remove(gateway.getName());
      core.removeGateway(gateway.getName(), clock.nowMillis());
      flush();
      checkWaiters();
    }
  }

  private void flush() {
    Map<String, DispatchOrders.Builder> orders = new LinkedHashMap<>();
    for (DispatchDecision decision : core.drainDecisions()) {
      DispatchOrders.Builder order =
          orders.computeIfAbsent(
              decision.requestId().gateway(), name -> DispatchOrders.newBuilder().setTerm(term));
      switch (decision) {
        case DispatchDecision.Place place ->
            order.addPlacements(
                Placement.newBuilder()
                    .setId(place.requestId().id())
                    .setBackend(place.backend())
                    .setUrgency(place.urgency())
                    .setBackup(place.backup()));
        case DispatchDecision.Reject refuse ->
            order.addRefusals(
                Refusal.newBuilder()
                    .setId(refuse.requestId().id())
                    .setRetryAfterMillis(refuse.retryAfterMillis())
                    .setReason(refuse.reason().name()));
        case DispatchDecision.Migrate move ->
            order.addMoves(
                Move.newBuilder()
                    .setId(move.requestId().id())
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
    whenRebuilt(
        () -> {
          long nowMillis = clock.nowMillis();
          BackendRecord changed = table.register(news, nowMillis);
          if (changed != null) {
            Logger.info(
                "backend server {} of {} {}",
                changed.getId(),
                changed.getService(),
                changed.getLeaving() ? "leaves" : "registered");
            core.updateBackend(changed, nowMillis);
            push(List.of(changed), List.of());
          }
          if (news.getLeaving()) {
            await(version, 0, answer);
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
    whenRebuilt(
        () -> {
          long nowMillis = clock.nowMillis();
          if (table.remove(id, nowMillis)) {
            Logger.info("backend server {} is gone", id);
            core.removeBackend(id, nowMillis);
            push(List.of(), List.of(id));
          }
          await(version, 0, answer);
        });
  }

  private void push(List<BackendRecord> changed, List<String> gone) {
    long before = version;
    version++;
    for (HostRecord gateway : gateways.get()) {
      GatewayView view = viewOf(gateway);
      SchedulerView.Builder builder =
          base(view)
              .setVersion(version)
              .setBaseVersion(before)
              .addAllBackends(changed)
              .addAllGone(gone);
      sender.accept(gateway.getName(), Envelope.newBuilder().setSchedulerView(builder));
    }
    flush();
  }

  // ---- catalog ----------------------------------------------------------------------------------

  /** Puts a committed catalog into force and tells the gateways. */
  void catalogApplied(Catalog newer, ByteString newDocument) {
    if (newer.revision() <= catalog.revision()) {
      return;
    }
    catalog = newer;
    document = newDocument;
    core.setCatalog(newer);
    if (term > 0) {
      for (HostRecord gateway : gateways.get()) {
        sender.accept(
            gateway.getName(), Envelope.newBuilder().setSchedulerView(base(viewOf(gateway))));
      }
    }
  }

  /** Answers once every gateway has the revision in force. */
  void awaitCatalog(long revision, Consumer<Boolean> answer) {
    if (term == 0) {
      answer.accept(false);
    } else {
      await(0, revision, answer);
    }
  }

  private void await(long wantedVersion, long revision, Consumer<Boolean> answer) {
    waiters.add(new Waiter(wantedVersion, revision, answer));
    checkWaiters();
  }

  private void checkWaiters() {
    if (waiters.isEmpty()) {
      return;
    }
    long leastVersion = Long.MAX_VALUE;
    long leastRevision = Long.MAX_VALUE;
    for (HostRecord gateway : gateways.get()) {
      GatewayView view = viewOf(gateway);
      leastVersion = Math.min(leastVersion, view.version);
      leastRevision = Math.min(leastRevision, view.catalogRevision);
    }
    for (Waiter waiter : List.copyOf(waiters)) {
      if (waiter.version() <= leastVersion && waiter.catalogRevision() <= leastRevision) {
        waiters.remove(waiter);
        waiter.answer().accept(true);
      }
    }
  }
}
