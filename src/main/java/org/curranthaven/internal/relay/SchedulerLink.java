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
  static final long LOST_AFTER_MILLIS = 450;

  /**
   * Time for a scheduler to answer a call, if only that it waits: many times what an answer takes,
   * and below the targets of short calls.
   */
  static final long ANSWER_MILLIS = 150;

  private static final long CHECK_MILLIS = 100;
  private static final long PROGRESS_MILLIS = 500;

  private final String self;
  private final EventLoop loop;
  private final Clock clock;
  private final RandomGenerator random;
  private final RetryLimits retryLimits;
  private final BiConsumer<String, Envelope.Builder> sender;
  private final ViewListener listener;
  private final Map<Long, PlacementListener> calls = new LinkedHashMap<>();
  private final Map<String, BackendRecord> backends = new HashMap<>();
  private final Set<String> gone = new HashSet<>();
  private final Map<Long, Integer> reported = new HashMap<>();

  /** Calls of which the scheduler has not said yet what becomes of them. */
  private final Set<Long> unanswered = new HashSet<>();

  private String scheduler = "";
  private long term;
  private long version;
  private long lastHeardMillis = Long.MIN_VALUE / 2;
  private int gateways = 1;
  private Catalog catalog = Catalog.empty();
  private boolean viewed;
  private @Nullable DispatchCore alone;
  private boolean checking;
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
  boolean isViewed() {
    return viewed;
  }

  /** Returns the host that schedules, or an empty text while the gateway decides alone. */
  String scheduler() {
    return isConnected() ? scheduler : "";
  }

  private boolean isConnected() {
    return !scheduler.isEmpty() && clock.nowMillis() - lastHeardMillis <= LOST_AFTER_MILLIS;
  }

  // ---- the scheduler's view ---------------------------------------------------------------------

  /** Takes in a scheduler's view. */
  void received(String host, SchedulerView view) {
    if (view.getTerm() < term) {
      return;
    }
    if (view.getResigned()) {
      if (host.equals(scheduler)) {
        lose("it resigned");
      }
      return;
    }
    boolean changed = view.getTerm() > term || !host.equals(scheduler);
    boolean returned = !changed && !isConnected();
    term = view.getTerm();
    scheduler = host;
    lastHeardMillis = clock.nowMillis();
    gateways = Math.max(1, view.getGateways());
    if (changed) {
      version = 0;
    }
    if (!view.getCatalog().isEmpty()) {
      listener.catalogReceived(view.getCatalog().toByteArray());
    }
    boolean news = applyBackends(view);
    if (changed || returned) {
      follow();
    } else if (news || !view.getCatalog().isEmpty()) {
      sendStatus(false);
    }
  }

  private boolean applyBackends(SchedulerView view) {
    if (view.getBaseVersion() == 0 && view.getVersion() > 0 && view.getVersion() > version) {
      mergeAll(view.getBackendsList());
    } else if (view.getBaseVersion() > 0 && view.getBaseVersion() == version) {
      view.getBackendsList().forEach(record -> put(record));
    } else {
      return false;
    }
    for (String id : view.getGoneList()) {
      remove(id);
    }
    version = view.getVersion();
    viewed = true;
    listener.backendsChanged(backends.values());
    return true;
  }

  /** A complete list replaces what is held, but never brings back what is gone. */
  private void mergeAll(List<BackendRecord> records) {
    Set<String> listed = new HashSet<>();
    records.forEach(record -> listed.add(record.getId()));
    List.copyOf(backends.keySet()).stream()
        .filter(id -> !listed.contains(id))
        .forEach(backends::remove);
    records.forEach(this::put);
  }

  private void put(BackendRecord record) {
    if (!gone.contains(record.getId())) {
      backends.put(record.getId(), record);
    }
  }

  private void remove(String id) {
    gone.add(id);
    backends.remove(id);
  }

  /** Puts a catalog into force for deciding alone, and tells the scheduler. */
  void catalogInForce(Catalog newer) {
    catalog = newer;
    if (alone != null) {
      alone.setCatalog(newer);
    }
  }

  private void follow() {
    Logger.info("{} schedules in term {}", scheduler, term);
    alone = null;
    sendStatus(true);
    for (PlacementListener call : List.copyOf(calls.values())) {
      if (call.backend().isEmpty()) {
        send(DispatchRequests.newBuilder().addAsks(call.placementRequest()));
      }
    }
  }

  private void sendStatus(boolean full) {
    GatewayStatus.Builder status =
        GatewayStatus.newBuilder()
            .setTerm(term)
            .setVersion(version)
            .setCatalogRevision(catalog.revision())
            .setFull(full);
    if (full) {
      status.addAllBackends(backends.values()).addAllGone(gone);
      for (PlacementListener call : calls.values()) {
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
    calls.put(ask.getId(), placed);
    if (isConnected()) {
      askScheduler(ask);
      checkLater();
    } else {
      askAlone(ask);
    }
  }

  private void askScheduler(PlacementRequest ask) {
    send(DispatchRequests.newBuilder().addAsks(ask));
    // A scheduler that rebuilds its state has told no version yet, and answers only after that.
    if (version > 0) {
      unanswered.add(ask.getId());
      long askedAtMillis = clock.nowMillis();
      long askedTerm = term;
      loop.schedule(
          () -> checkAnswered(ask, askedTerm, askedAtMillis), ANSWER_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Decides alone if the scheduler is silent; asks again if only the question was lost. */
  private void checkAnswered(PlacementRequest ask, long askedTerm, long askedAtMillis) {
    if (!unanswered.contains(ask.getId()) || term != askedTerm || !isConnected()) {
      return;
    }
    if (lastHeardMillis <= askedAtMillis) {
      lose("it does not answer");
    } else {
      askScheduler(ask);
    }
  }

  @Override
  public void reportProgress(long id, int outputTokens) {
    reported.put(id, outputTokens);
    if (isConnected()) {
      send(DispatchRequests.newBuilder().addProgress(progress(id, outputTokens)));
    } else if (alone != null) {
      alone.outputProgressed(key(id), outputTokens, clock.nowMillis());
      carryOutAlone();
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
      calls.remove(id);
      reported.remove(id);
      unanswered.remove(id);
    }
    if (isConnected()) {
      send(
          DispatchRequests.newBuilder()
              .addEnds(
                  DispatchEnd.newBuilder()
                      .setId(id)
                      .setOutcome(outcome)
                      .setOutputTokens(outputTokens)));
    } else if (alone != null) {
      alone.requestEnded(key(id), outcome, outputTokens, clock.nowMillis());
      carryOutAlone();
    }
  }

  /** Takes in what the scheduler decided. */
  void received(String host, DispatchOrders orders) {
    if (orders.getTerm() != term || !host.equals(scheduler)) {
      return;
    }
    lastHeardMillis = clock.nowMillis();
    orders.getWaitingList().forEach(unanswered::remove);
    for (Placement placement : orders.getPlacementsList()) {
      unanswered.remove(placement.getId());
      PlacementListener call = calls.get(placement.getId());
      if (call != null && call.backend().isEmpty()) {
        call.onPlaced(placement.getBackend(), placement.getUrgency(), placement.getBackup());
      }
    }
    for (Refusal refusal : orders.getRefusalsList()) {
      unanswered.remove(refusal.getId());
      PlacementListener call = calls.remove(refusal.getId());
      if (call != null) {
        call.onRejected(refusal.getRetryAfterMillis(), refusal.getReason());
      }
    }
    for (Move move : orders.getMovesList()) {
      PlacementListener call = calls.get(move.getId());
      if (call != null) {
        call.onMigrate(move.getTarget(), move.getBackup());
      }
    }
  }

  // ---- deciding alone ---------------------------------------------------------------------------

  private void checkLater() {
    if (!checking) {
      checking = true;
      loop.schedule(this::check, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void check() {
    checking = false;
    if (!scheduler.isEmpty() && !isConnected()) {
      lose("it is silent");
    }
    if (alone != null) {
      alone.tick(clock.nowMillis());
      carryOutAlone();
    }
    reportProgress();
    if (!calls.isEmpty()) {
      checkLater();
    }
  }

  private void reportProgress() {
    long nowMillis = clock.nowMillis();
    if (nowMillis - lastProgressMillis < PROGRESS_MILLIS || !isConnected()) {
      return;
    }
    lastProgressMillis = nowMillis;
    DispatchRequests.Builder requests = DispatchRequests.newBuilder();
    calls.forEach(
        (id, call) -> {
          int tokens = call.outputTokens();
          if (tokens > reported.getOrDefault(id, 0)) {
            reported.put(id, tokens);
            requests.addProgress(progress(id, tokens));
          }
        });
    if (requests.getProgressCount() > 0) {
      send(requests);
    }
  }

  private void lose(String reason) {
    Logger.info("scheduler {} is lost: {}; deciding alone", scheduler, reason);
    scheduler = "";
    unanswered.clear();
    startAlone();
  }

  /** Called when the connection to a host is gone. */
  void disconnected(String host) {
    if (host.equals(scheduler)) {
      lose("its connection is gone");
    }
  }

  private DispatchCore startAlone() {
    long nowMillis = clock.nowMillis();
    DispatchCore core = new DispatchCore(retryLimits, gateways, random);
    alone = core;
    core.setCatalog(catalog);
    backends.values().forEach(record -> core.updateBackend(record, nowMillis));
    List<PlacementRequest> waiting = new ArrayList<>();
    calls.forEach(
        (id, call) -> {
          if (call.backend().isEmpty()) {
            waiting.add(call.placementRequest());
          } else {
            core.restoreRunning(
                key(id), call.placementRequest(), call.backend(), call.outputTokens(), nowMillis);
          }
        });
    waiting.forEach(ask -> core.submit(key(ask.getId()), ask, nowMillis));
    loop.execute(this::carryOutAlone);
    checkLater();
    return core;
  }

  private void askAlone(PlacementRequest ask) {
    DispatchCore core = alone;
    if (core == null) {
      // The new call is among those that wait.
      startAlone();
      return;
    }
    core.submit(key(ask.getId()), ask, clock.nowMillis());
    loop.execute(this::carryOutAlone);
    checkLater();
  }

  private RequestId key(long id) {
    return new RequestId(self, id);
  }

  private void carryOutAlone() {
    DispatchCore core = alone;
    if (core == null) {
      return;
    }
    for (DispatchDecision decision : core.drainDecisions()) {
      PlacementListener call = calls.get(decision.requestId().id());
      if (call == null) {
        continue;
      }
      switch (decision) {
        case DispatchDecision.Place place ->
            call.onPlaced(place.backend(), place.urgency(), place.backup());
        case DispatchDecision.Reject refuse -> {
          calls.remove(refuse.requestId().id());
          call.onRejected(refuse.retryAfterMillis(), refuse.reason().name());
        }
        case DispatchDecision.Migrate move -> call.onMigrate(move.target(), move.backup());
      }
    }
  }
}
