package org.curranthaven.internal.relay;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.dispatch.DispatchCore;
import org.curranthaven.internal.dispatch.DispatchDecision;
import org.curranthaven.internal.dispatch.RequestId;
import org.curranthaven.internal.dispatch.RetryLimits;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.DispatchEnd;
import org.curranthaven.internal.transport.wire.DispatchOrders;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.curranthaven.internal.transport.wire.DispatchProgress;
import org.curranthaven.internal.transport.wire.DispatchRequests;
import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.GatewayStatus;
import org.curranthaven.internal.transport.wire.Move;
import org.curranthaven.internal.transport.wire.OpenDispatch;
import org.curranthaven.internal.transport.wire.Placement;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.curranthaven.internal.transport.wire.Refusal;
import org.curranthaven.internal.transport.wire.SchedulerView;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * A gateway's side of scheduling: follows the scheduler of the highest term, and decides alone, on
 * the gateway's share of the backend servers, while none is heard. Used on the event loop only.
 */
final class SchedulerLink implements RequestPlacer {
  /** Silence after which a scheduler counts as lost. */
  static final long SCHEDULER_TIMEOUT_MILLIS = 450;

  /**
   * Time for a scheduler to answer a call, if only that it waits: many times what an answer takes,
   * and below the targets of short calls.
   */
  static final long PLACEMENT_REPLY_TIMEOUT_MILLIS = 150;

  private static final long CHECK_INTERVAL_MILLIS = 100;
  private static final long PROGRESS_INTERVAL_MILLIS = 500;

  private final String self;
  private final EventLoop loop;
  private final Clock clock;
  private final RandomGenerator random;
  private final RetryLimits retryLimits;
  private final BiConsumer<String, Envelope.Builder> sender;
  private final ViewListener listener;
  private final Map<Long, PlacementListener> openRequests = new LinkedHashMap<>();
  private final Map<String, BackendRecord> backends = new HashMap<>();
  private final Set<String> removedBackends = new HashSet<>();
  private final Map<Long, Integer> reportedTokens = new HashMap<>();

  /** Calls of which the scheduler has not said yet what becomes of them. */
  private final Set<Long> unacknowledged = new HashSet<>();

  private String scheduler = "";
  private long term;
  private long viewVersion;
  private long lastMessageMillis = Long.MIN_VALUE / 2;
  private int gatewayCount = 1;
  private Catalog catalog = Catalog.empty();
  private boolean viewReceived;
  private @Nullable DispatchCore localDispatch;
  private boolean checkScheduled;
  private long lastProgressMillis;

  /** Is told what a scheduler says. */
  interface ViewListener {
    /** A newer catalog document came. */
    void catalogReceived(byte[] document);

    /** The backend servers changed. */
    void backendsChanged(Collection<BackendRecord> backends);
  }

  SchedulerLink(
      String self,
      EventLoop loop,
      Clock clock,
      RandomGenerator random,
      RetryLimits retryLimits,
      BiConsumer<String, Envelope.Builder> sender,
      ViewListener listener) {
    this.self = self;
    this.loop = loop;
    this.clock = clock;
    this.random = random;
    this.retryLimits = retryLimits;
    this.sender = sender;
    this.listener = listener;
  }

  /** Returns the backend server of the name, or null. */
  @Nullable BackendRecord backend(String id) {
    return backends.get(id);
  }

  /** Returns the names of the backend servers that are known. */
  List<String> backendNames() {
    return backends.keySet().stream().sorted().toList();
  }

  /** Returns whether a scheduler has told its view at least once. */
  boolean hasReceivedView() {
    return viewReceived;
  }

  /** Returns the host that schedules, or an empty text while the gateway decides alone. */
  String scheduler() {
    return isConnected() ? scheduler : "";
  }

  private boolean isConnected() {
    return !scheduler.isEmpty()
        && clock.nowMillis() - lastMessageMillis <= SCHEDULER_TIMEOUT_MILLIS;
  }

  // ---- the scheduler's view ---------------------------------------------------------------------

  /** Takes in a scheduler's view. */
  void handle(String host, SchedulerView view) {
    if (view.getTerm() < term) {
      return;
    }
    if (view.getResigned()) {
      if (host.equals(scheduler)) {
        loseScheduler("it resigned");
      }
      return;
    }
    boolean changed = view.getTerm() > term || !host.equals(scheduler);
    boolean returned = !changed && !isConnected();
    term = view.getTerm();
    scheduler = host;
    lastMessageMillis = clock.nowMillis();
    gatewayCount = Math.max(1, view.getGateways());
    if (changed) {
      viewVersion = 0;
    }
    if (!view.getCatalog().isEmpty()) {
      listener.catalogReceived(view.getCatalog().toByteArray());
    }
    boolean news = applyBackendUpdate(view);
    if (changed || returned) {
      followScheduler();
    } else if (news || !view.getCatalog().isEmpty()) {
      sendStatus(false);
    }
  }

  private boolean applyBackendUpdate(SchedulerView view) {
    if (view.getBaseVersion() == 0 && view.getVersion() > 0 && view.getVersion() > viewVersion) {
      replaceBackends(view.getBackendsList());
    } else if (view.getBaseVersion() > 0 && view.getBaseVersion() == viewVersion) {
      view.getBackendsList().forEach(record -> putBackend(record));
    } else {
      return false;
    }
    for (String id : view.getGoneList()) {
      removeBackend(id);
    }
    viewVersion = view.getVersion();
    viewReceived = true;
    listener.backendsChanged(backends.values());
    return true;
  }

  /** A complete list replaces what is held, but never brings back what is gone. */
  private void replaceBackends(List<BackendRecord> records) {
    Set<String> listed = new HashSet<>();
    records.forEach(record -> listed.add(record.getId()));
    List.copyOf(backends.keySet()).stream()
        .filter(id -> !listed.contains(id))
        .forEach(backends::remove);
    records.forEach(this::putBackend);
  }

  private void putBackend(BackendRecord record) {
    if (!removedBackends.contains(record.getId())) {
      backends.put(record.getId(), record);
    }
  }

  private void removeBackend(String id) {
    removedBackends.add(id);
    backends.remove(id);
  }

  /** Puts a catalog into force for deciding alone, and tells the scheduler. */
  void activateCatalog(Catalog newer) {
    catalog = newer;
    if (localDispatch != null) {
      localDispatch.setCatalog(newer);
    }
  }

  private void followScheduler() {
    Logger.info("{} schedules in term {}", scheduler, term);
    localDispatch = null;
    sendStatus(true);
    for (PlacementListener call : List.copyOf(openRequests.values())) {
      if (call.backend().isEmpty()) {
        send(DispatchRequests.newBuilder().addAsks(call.placementRequest()));
      }
    }
  }

  private void sendStatus(boolean full) {
    GatewayStatus.Builder status =
        GatewayStatus.newBuilder()
            .setTerm(term)
            .setVersion(viewVersion)
            .setCatalogRevision(catalog.revision())
            .setFull(full);
    if (full) {
      status.addAllBackends(backends.values()).addAllGone(removedBackends);
      for (PlacementListener call : openRequests.values()) {
        if (!call.backend().isEmpty()) {
          status.addOpen(
              OpenDispatch.newBuilder()
                  .setAsk(call.placementRequest())
                  .setBackend(call.backend())
                  .setOutputTokens(call.outputTokens()));
        }
      }
    }
    sender.accept(scheduler, Envelope.newBuilder().setGatewayStatus(status));
  }

  private void send(DispatchRequests.Builder requests) {
    sender.accept(scheduler, Envelope.newBuilder().setDispatchRequests(requests.setTerm(term)));
  }

  // ---- calls ------------------------------------------------------------------------------------

  @Override
  public void requestPlacement(PlacementRequest ask, PlacementListener placed) {
    openRequests.put(ask.getId(), placed);
    if (isConnected()) {
      sendPlacementRequest(ask);
      scheduleCheck();
    } else {
      placeLocally(ask);
    }
  }

  private void sendPlacementRequest(PlacementRequest ask) {
    send(DispatchRequests.newBuilder().addAsks(ask));
    // A scheduler that rebuilds its state has told no version yet, and answers only after that.
    if (viewVersion > 0) {
      unacknowledged.add(ask.getId());
      long askedAtMillis = clock.nowMillis();
      long askedTerm = term;
      loop.schedule(
          () -> checkAcknowledged(ask, askedTerm, askedAtMillis),
          PLACEMENT_REPLY_TIMEOUT_MILLIS,
          TimeUnit.MILLISECONDS);
    }
  }

  /** Decides alone if the scheduler is silent; asks again if only the question was lost. */
  private void checkAcknowledged(PlacementRequest ask, long askedTerm, long askedAtMillis) {
    if (!unacknowledged.contains(ask.getId()) || term != askedTerm || !isConnected()) {
      return;
    }
    if (lastMessageMillis <= askedAtMillis) {
      loseScheduler("it does not answer");
    } else {
      sendPlacementRequest(ask);
    }
  }

  @Override
  public void reportProgress(long id, int outputTokens) {
    reportedTokens.put(id, outputTokens);
    if (isConnected()) {
      send(DispatchRequests.newBuilder().addProgress(progress(id, outputTokens)));
    } else if (localDispatch != null) {
      localDispatch.outputProgressed(requestId(id), outputTokens, clock.nowMillis());
      applyLocalDecisions();
    }
  }

  private static DispatchProgress progress(long id, int outputTokens) {
    return DispatchProgress.newBuilder().setId(id).setOutputTokens(outputTokens).build();
  }

  @Override
  public void reportEnd(long id, DispatchOutcome outcome, int outputTokens) {
    boolean over =
        outcome != DispatchOutcome.DISPATCH_OUTCOME_MOVED
            && outcome != DispatchOutcome.DISPATCH_OUTCOME_MOVE_FAILED;
    if (over) {
      openRequests.remove(id);
      reportedTokens.remove(id);
      unacknowledged.remove(id);
    }
    if (isConnected()) {
      send(
          DispatchRequests.newBuilder()
              .addEnds(
                  DispatchEnd.newBuilder()
                      .setId(id)
                      .setOutcome(outcome)
                      .setOutputTokens(outputTokens)));
    } else if (localDispatch != null) {
      localDispatch.requestEnded(requestId(id), outcome, outputTokens, clock.nowMillis());
      applyLocalDecisions();
    }
  }

  /** Takes in what the scheduler decided. */
  void handle(String host, DispatchOrders orders) {
    if (orders.getTerm() != term || !host.equals(scheduler)) {
      return;
    }
    lastMessageMillis = clock.nowMillis();
    orders.getWaitingList().forEach(unacknowledged::remove);
    for (Placement placement : orders.getPlacementsList()) {
      unacknowledged.remove(placement.getId());
      PlacementListener call = openRequests.get(placement.getId());
      if (call != null && call.backend().isEmpty()) {
        call.onPlaced(placement.getBackend(), placement.getUrgency(), placement.getBackup());
      }
    }
    for (Refusal refusal : orders.getRefusalsList()) {
      unacknowledged.remove(refusal.getId());
      PlacementListener call = openRequests.remove(refusal.getId());
      if (call != null) {
        call.onRejected(refusal.getRetryAfterMillis(), refusal.getReason());
      }
    }
    for (Move move : orders.getMovesList()) {
      PlacementListener call = openRequests.get(move.getId());
      if (call != null) {
        call.onMigrate(move.getTarget(), move.getBackup());
      }
    }
  }

  // ---- deciding alone ---------------------------------------------------------------------------

  private void scheduleCheck() {
    if (!checkScheduled) {
      checkScheduled = true;
      loop.schedule(this::check, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void check() {
    checkScheduled = false;
    if (!scheduler.isEmpty() && !isConnected()) {
      loseScheduler("it is silent");
    }
    if (localDispatch != null) {
      localDispatch.tick(clock.nowMillis());
      applyLocalDecisions();
    }
    reportProgress();
    if (!openRequests.isEmpty()) {
      scheduleCheck();
    }
  }

  private void reportProgress() {
    long nowMillis = clock.nowMillis();
    if (nowMillis - lastProgressMillis < PROGRESS_INTERVAL_MILLIS || !isConnected()) {
      return;
    }
    lastProgressMillis = nowMillis;
    DispatchRequests.Builder requests = DispatchRequests.newBuilder();
    openRequests.forEach(
        (id, call) -> {
          int tokens = call.outputTokens();
          if (tokens > reportedTokens.getOrDefault(id, 0)) {
            reportedTokens.put(id, tokens);
            requests.addProgress(progress(id, tokens));
          }
        });
    if (requests.getProgressCount() > 0) {
      send(requests);
    }
  }

  private void loseScheduler(String reason) {
    Logger.info("scheduler {} is lost: {}; deciding alone", scheduler, reason);
    scheduler = "";
    unacknowledged.clear();
    startLocalFallback();
  }

  /** Called when the connection to a host is gone. */
  void disconnected(String host) {
    if (host.equals(scheduler)) {
      loseScheduler("its connection is gone");
    }
  }

  private DispatchCore startLocalFallback() {
    long nowMillis = clock.nowMillis();
    DispatchCore core = new DispatchCore(retryLimits, gatewayCount, random);
    localDispatch = core;
    core.setCatalog(catalog);
    backends.values().forEach(record -> core.updateBackend(record, nowMillis));
    List<PlacementRequest> waiting = new ArrayList<>();
    openRequests.forEach(
        (id, call) -> {
          if (call.backend().isEmpty()) {
            waiting.add(call.placementRequest());
          } else {
            core.restoreRunning(
                requestId(id),
                call.placementRequest(),
                call.backend(),
                call.outputTokens(),
                nowMillis);
          }
        });
    waiting.forEach(ask -> core.submit(requestId(ask.getId()), ask, nowMillis));
    loop.execute(this::applyLocalDecisions);
    scheduleCheck();
    return core;
  }

  private void placeLocally(PlacementRequest ask) {
    DispatchCore core = localDispatch;
    if (core == null) {
      // The new call is among those that wait.
      startLocalFallback();
      return;
    }
    core.submit(requestId(ask.getId()), ask, clock.nowMillis());
    loop.execute(this::applyLocalDecisions);
    scheduleCheck();
  }

  private RequestId requestId(long id) {
    return new RequestId(self, id);
  }

  private void applyLocalDecisions() {
    DispatchCore core = localDispatch;
    if (core == null) {
      return;
    }
    for (DispatchDecision decision : core.drainDecisions()) {
      PlacementListener call = openRequests.get(decision.key().id());
      if (call == null) {
        continue;
      }
      switch (decision) {
        case DispatchDecision.Place place ->
            call.onPlaced(place.backend(), place.urgency(), place.backup());
        case DispatchDecision.Reject refuse -> {
          openRequests.remove(refuse.key().id());
          call.onRejected(refuse.retryAfterMillis(), refuse.reason().name());
        }
        case DispatchDecision.Migrate move -> call.onMigrate(move.target(), move.backup());
      }
    }
  }
}
