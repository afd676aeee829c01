package org.curranthaven.internal.relay;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.dispatch.BackendStatements;
import org.curranthaven.internal.dispatch.DispatchCore;
import org.curranthaven.internal.dispatch.DispatchDecision;
import org.curranthaven.internal.dispatch.DispatchFeatures;
import org.curranthaven.internal.dispatch.GatewayRetries;
import org.curranthaven.internal.dispatch.RequestId;
import org.curranthaven.internal.dispatch.RetryLimits;
import org.curranthaven.internal.dispatch.SharedKnowledge;
import org.curranthaven.internal.dispatch.StatedLoad;
import org.curranthaven.internal.dispatch.StatedRateLimit;
import org.curranthaven.internal.dispatch.StreamOrigins;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.BackendStatement;
import org.curranthaven.internal.transport.wire.DispatchEnd;
import org.curranthaven.internal.transport.wire.DispatchOrders;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.curranthaven.internal.transport.wire.DispatchProgress;
import org.curranthaven.internal.transport.wire.DispatchRequests;
import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.GatewayStatus;
import org.curranthaven.internal.transport.wire.MigrationOrder;
import org.curranthaven.internal.transport.wire.Placement;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.curranthaven.internal.transport.wire.Rejection;
import org.curranthaven.internal.transport.wire.RunningDispatch;
import org.curranthaven.internal.transport.wire.SchedulerView;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * The gateway's client of the scheduler. Follows the scheduler with the highest term; while no
 * scheduler responds, places requests locally on the gateway's share of the backend servers.
 * Confined to the event loop.
 */
final class SchedulerLink implements RequestPlacer {
  /** Time without a message after which the scheduler counts as lost. */
  static final long SCHEDULER_TIMEOUT_MILLIS = 450;

  /**
   * Time within which a scheduler must acknowledge a placement request, if only by reporting it as
   * queued. Many times longer than a normal reply takes, and shorter than the first-reply targets
   * of short requests.
   */
  static final long PLACEMENT_REPLY_TIMEOUT_MILLIS = 150;

  /** Shortest time between two full statuses; longer than one takes to arrive and be applied. */
  static final long FULL_STATUS_INTERVAL_MILLIS = 400;

  /**
   * Time after a full status at which decisions from before it show that it was lost; longer than a
   * scheduler that is heard can take to apply it and reply.
   */
  static final long STATUS_LOST_MILLIS = 2_000;

  /**
   * Time for which a gateway that the scheduler has lost still counts: it may place requests
   * locally, on its share of the rates that backend servers accept.
   */
  private static final long MOST_GATEWAYS_MILLIS = 10_000;

  private static final long CHECK_INTERVAL_MILLIS = 100;
  private static final long MIN_CHECK_INTERVAL_MILLIS = 20;
  private static final long PROGRESS_INTERVAL_MILLIS = 500;

  private final String self;
  private final EventLoop loop;
  private final Clock clock;
  private final RandomGenerator random;
  private final RetryLimits retryLimits;
  private final BiConsumer<String, Envelope.Builder> sender;
  private final ViewListener listener;
  private final DispatchFeatures features;
  private final Map<Long, PlacementListener> openRequests = new LinkedHashMap<>();
  private final Map<Long, Integer> reportedTokens = new HashMap<>();

  /** What the scheduler published, and what this gateway learnt itself. */
  private final SharedKnowledge knowledge;

  /** The requests and retries that this gateway sent, whoever decided on them. */
  private final GatewayRetries retries;

  private final KnownBackends backends;

  /** Backend servers that stated something malformed, which was logged. */
  private final Set<String> malformedStatements = new HashSet<>();

  private final StatedLoadReports loadReports = new StatedLoadReports();

  /** Ids of placement requests that the scheduler has neither decided nor reported as queued. */
  private final Set<Long> unacknowledged = new HashSet<>();

  private final EvacuatedDataCentres evacuated = new EvacuatedDataCentres();

  private final ResumptionsAwaitingScheduler awaitingScheduler = new ResumptionsAwaitingScheduler();

  private final LinkCounters counters = new LinkCounters();

  private final RecentCrashReports crashReports;

  private String scheduler = "";
  private long term;
  private long viewVersion;
  private long lastMessageMillis = Long.MIN_VALUE / 2;
  private int gatewayCount = 1;

  /** Highest count of the latest {@link #MOST_GATEWAYS_MILLIS}, and when it was published. */
  private int mostGateways = 1;

  private long mostGatewaysAtMillis = Long.MIN_VALUE / 2;
  private Catalog catalog = Catalog.empty();
  private boolean viewReceived;
  private @Nullable DispatchCore localDispatch;
  private boolean checkScheduled;
  private boolean stateReportScheduled;
  private boolean closed;
  private long lastProgressMillis;
  private long statusNumber;
  private long fullStatusSentMillis = Long.MIN_VALUE / 2;

  /** Receives the catalogs and backend servers that a scheduler publishes. */
  interface ViewListener {
    /** Handles a catalog document received from the scheduler. */
    void catalogReceived(byte[] document);

    /** Handles a change of the known backend servers. */
    void backendsChanged(Collection<BackendRecord> backends);

    /** Handles a change of the evacuated data centres. */
    default void evacuationChanged(Collection<String> dataCentres) {}
  }

  SchedulerLink(
      String self,
      EventLoop loop,
      Clock clock,
      RandomGenerator random,
      RetryLimits retryLimits,
      BiConsumer<String, Envelope.Builder> sender,
      ViewListener listener,
      DispatchFeatures features) {
    this.features = features;
    this.self = self;
    this.loop = loop;
    this.clock = clock;
    this.random = random;
    this.retryLimits = retryLimits;
    this.sender = sender;
    this.listener = listener;
    this.retries = new GatewayRetries(clock.nowMillis());
    this.knowledge = SharedKnowledge.ofGateway(random, retries);
    this.backends = new KnownBackends(knowledge);
    this.crashReports = new RecentCrashReports(self);
  }

  /** Returns the backend server with the given id, or null if it is unknown or removed. */
  @Nullable BackendRecord backend(String id) {
    return backends.get(id);
  }

  /** Returns the memory reserves of this gateway; empty while a scheduler places its requests. */
  List<String> memoryReserves() {
    return localDispatch == null ? List.of() : localDispatch.memoryReserves();
  }

  /** Returns the ids of the known backend servers, sorted. */
  List<String> backendNames() {
    return backends.ids().stream().sorted().toList();
  }

  /** Returns the ids of the parts of prompts that are blocked, sorted. */
  List<String> blockedPromptParts() {
    return knowledge.crashes().blockedParts(clock.nowMillis());
  }

  /** Returns the fingerprints of the requests that are blocked, sorted. */
  List<String> blockedRequests() {
    return knowledge.crashes().blockedRequests(clock.nowMillis());
  }

  /** Returns the limits on requests that backend servers have stated, by backend server. */
  SortedMap<String, Double> statedRateLimits() {
    return knowledge.rateLimits().stated();
  }

  /** Returns the evacuated data centres, sorted. */
  List<String> evacuatedDataCentres() {
    return List.copyOf(evacuated.names());
  }

  /** Returns the revision of the evacuated data centres. */
  long evacuationRevision() {
    return evacuated.revision();
  }

  /** Returns the times for which backend servers are cold still, by backend server. */
  SortedMap<String, Long> coldLeftMillis() {
    return knowledge.rateLimits().coldServers().coldLeftMillis(clock.nowMillis());
  }

  /** Returns what is known of the capacity of each backend server. */
  List<String> backendCapacities() {
    return knowledge.capacities().describe(clock.nowMillis());
  }

  /** Returns the counts of ignored decisions and of placement requests that were sent again. */
  LinkCounters counters() {
    return counters;
  }

  /** Returns whether a scheduler's view has been received at least once. */
  boolean hasReceivedView() {
    return viewReceived;
  }

  /** Returns the name of the current scheduler, or an empty string during local fallback. */
  String scheduler() {
    return isConnected() ? scheduler : "";
  }

  private boolean isConnected() {
    return !scheduler.isEmpty()
        && clock.nowMillis() - lastMessageMillis <= SCHEDULER_TIMEOUT_MILLIS;
  }

  // ---- scheduler views --------------------------------------------------------------------------

  /** Handles a view published by a scheduler; ignores views of earlier terms. */
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
    boolean schedulerChanged = view.getTerm() > term || !host.equals(scheduler);
    boolean reconnected = !schedulerChanged && !isConnected();
    term = view.getTerm();
    scheduler = host;
    lastMessageMillis = clock.nowMillis();
    recordGatewayCount(Math.max(1, view.getGateways()));
    if (schedulerChanged) {
      viewVersion = 0;
    }
    if (view.hasEvacuation() && evacuated.update(view.getEvacuation())) {
      listener.evacuationChanged(evacuated.names());
    }
    if (!view.getCatalog().isEmpty()) {
      listener.catalogReceived(view.getCatalog().toByteArray());
    }
    knowledge.crashes().merge(view.getCrashSuspectsList(), clock.nowMillis());
    if (view.hasRateLimits()) {
      knowledge.rateLimits().replace(view.getRateLimits().getLimitsList(), clock.nowMillis());
    }
    knowledge.streamOrigins().merge(List.of(), view.getServedVersionsList(), clock.nowMillis());
    boolean updated = applyBackendUpdate(view);
    knowledge.capacities().merge(view.getCapacitiesList(), backends::get, clock.nowMillis());
    if (schedulerChanged || reconnected || isFullStatusDue(view)) {
      followScheduler(schedulerChanged);
    } else if (updated || !view.getCatalog().isEmpty() || view.hasEvacuation()) {
      sendStatus(false);
    }
  }

  private void recordGatewayCount(int count) {
    gatewayCount = count;
    retries.recordGateways(count);
    boolean outdated = clock.nowMillis() - mostGatewaysAtMillis > MOST_GATEWAYS_MILLIS;
    if (count >= mostGateways || outdated) {
      mostGateways = count;
      mostGatewaysAtMillis = clock.nowMillis();
    }
  }

  /** Returns whether to send the full status again because the scheduler has not received it. */
  private boolean isFullStatusDue(SchedulerView view) {
    return view.getFullStatusRequested()
        && clock.nowMillis() - fullStatusSentMillis >= FULL_STATUS_INTERVAL_MILLIS;
  }

  private boolean applyBackendUpdate(SchedulerView view) {
    boolean complete =
        view.getBaseVersion() == 0 && view.getVersion() > 0 && view.getVersion() > viewVersion;
    boolean nextChange = view.getBaseVersion() > 0 && view.getBaseVersion() == viewVersion;
    if (!complete && !nextChange) {
      return false;
    }
    backends.apply(view, clock.nowMillis());
    viewVersion = view.getVersion();
    viewReceived = true;
    malformedStatements.retainAll(backends.ids());
    listener.backendsChanged(backends.all());
    return true;
  }

  /**
   * Activates a catalog for local placement. The scheduler learns its revision with the next status
   * message.
   */
  void activateCatalog(Catalog newCatalog) {
    catalog = newCatalog;
    knowledge.rateLimits().coldServers().setCatalog(newCatalog);
    if (localDispatch != null) {
      localDispatch.setCatalog(newCatalog);
    }
  }

  private void followScheduler(boolean schedulerChanged) {
    Logger.info(
        "following scheduler {} in term {} with {} open requests",
        scheduler,
        term,
        openRequests.size());
    if (schedulerChanged && localDispatch == null && !crashReports.isEmpty(clock.nowMillis())) {
      // The scheduler before may not have read of these crashes; the core records who is suspect.
      newLocalDispatch(clock.nowMillis());
    }
    localDispatch = null;
    sendState();
  }

  /** Sends the full status, and the placement requests of the requests that wait. */
  private void sendState() {
    sendStatus(true);
    for (PlacementListener request : List.copyOf(openRequests.values())) {
      if (request.backend().isEmpty()) {
        send(DispatchRequests.newBuilder().addAsks(asCounted(request.placementRequest())));
      }
    }
  }

  /**
   * Reports the state of this gateway to a scheduler whose view differs, at most every {@link
   * #FULL_STATUS_INTERVAL_MILLIS}.
   */
  private void reportState() {
    if (!stateReportScheduled && isConnected()) {
      stateReportScheduled = true;
      long dueAtMillis = fullStatusSentMillis + FULL_STATUS_INTERVAL_MILLIS;
      loop.schedule(
          this::reportStateNow,
          Math.max(0, dueAtMillis - clock.nowMillis()),
          TimeUnit.MILLISECONDS);
    }
  }

  private void reportStateNow() {
    stateReportScheduled = false;
    // A full status that was sent meanwhile has corrected the scheduler's view already.
    boolean due = clock.nowMillis() - fullStatusSentMillis >= FULL_STATUS_INTERVAL_MILLIS;
    if (due && isConnected()) {
      Logger.info(
          "the view of scheduler {} in term {} differs: reporting the state", scheduler, term);
      sendState();
    }
  }

  private void sendStatus(boolean full) {
    GatewayStatus.Builder status =
        GatewayStatus.newBuilder()
            .setTerm(term)
            .setVersion(viewVersion)
            .setCatalogRevision(catalog.revision())
            .setEvacuationRevision(evacuated.revision())
            .setFull(full);
    if (full) {
      statusNumber++;
      status.setNumber(statusNumber);
      fullStatusSentMillis = clock.nowMillis();
      backends.recordServing(clock.nowMillis());
      StreamOrigins origins = knowledge.streamOrigins();
      status
          .setMostGateways(mostGateways)
          .addAllBackends(backends.withColdTimes(clock.nowMillis()))
          .addAllGone(backends.removedIds())
          .addAllCrashSuspects(knowledge.crashes().export(clock.nowMillis()))
          .addAllRateLimits(knowledge.rateLimits().export(clock.nowMillis()))
          .addAllStreamOrigins(origins.exportOrigins(clock.nowMillis()))
          .addAllServedVersions(origins.exportServed(clock.nowMillis()))
          .addAllRests(knowledge.restTimes().export(self, clock.nowMillis()))
          .addAllCapacities(knowledge.capacities().export(clock.nowMillis()))
          .addAllRetryCounts(retries.export(clock.nowMillis()))
          .setRetryMemoryMillis(retries.memoryMillis(clock.nowMillis()))
          .setMostGatewaysKnown(retries.mostGateways());
      placedRequests().forEach(status::addOpen);
    }
    sender.accept(scheduler, Envelope.newBuilder().setGatewayStatus(status));
  }

  /** Returns a placement request whose request the scheduler need not count again. */
  private static PlacementRequest asCounted(PlacementRequest placementRequest) {
    return placementRequest.toBuilder().setCounted(true).build();
  }

  private Stream<RunningDispatch> placedRequests() {
    return openRequests.values().stream()
        .filter(request -> !request.backend().isEmpty())
        .map(SchedulerLink::runningDispatch);
  }

  private static RunningDispatch runningDispatch(PlacementListener request) {
    return RunningDispatch.newBuilder()
        .setAsk(request.placementRequest())
        .setBackend(request.backend())
        .setOutputTokens(request.outputTokens())
        .setBackup(request.backup())
        .setMigrationTarget(request.migration().target())
        .setMigrationBackup(request.migration().backup())
        .build();
  }

  private void send(DispatchRequests.Builder requests) {
    sender.accept(scheduler, Envelope.newBuilder().setDispatchRequests(requests.setTerm(term)));
  }

  // ---- requests ---------------------------------------------------------------------------------

  @Override
  public void requestPlacement(
      PlacementRequest placementRequest, PlacementListener placementListener) {
    openRequests.put(placementRequest.getId(), placementListener);
    if (!placementRequest.getRepeat() && !placementRequest.getCounted()) {
      retries.requestArrived(placementRequest.getService(), retryLimits, clock.nowMillis());
    }
    if (isConnected()) {
      sendPlacementRequest(placementRequest);
      scheduleCheck();
    } else {
      placeLocally(placementRequest);
    }
  }

  private void sendPlacementRequest(PlacementRequest placementRequest) {
    send(DispatchRequests.newBuilder().addAsks(placementRequest));
    // A scheduler that is rebuilding its state has sent no view version yet and replies only
    // afterwards.
    if (viewVersion > 0) {
      unacknowledged.add(placementRequest.getId());
      long sentAtMillis = clock.nowMillis();
      long sentTerm = term;
      loop.schedule(
          () -> checkAcknowledged(placementRequest, sentTerm, sentAtMillis),
          PLACEMENT_REPLY_TIMEOUT_MILLIS,
          TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Starts local fallback if the scheduler has sent nothing since the placement request; sends the
   * request again if only that message was lost.
   */
  private void checkAcknowledged(
      PlacementRequest placementRequest, long sentTerm, long sentAtMillis) {
    if (!unacknowledged.contains(placementRequest.getId()) || term != sentTerm || !isConnected()) {
      return;
    }
    if (lastMessageMillis <= sentAtMillis) {
      loseScheduler(
          "no reply to placement request "
              + placementRequest.getId()
              + " within "
              + PLACEMENT_REPLY_TIMEOUT_MILLIS
              + " ms");
    } else {
      counters.recordSentAgain(placementRequest.getId(), clock.nowMillis());
      sendPlacementRequest(asCounted(placementRequest));
    }
  }

  @Override
  public void reportProgress(long id, int outputTokens) {
    recordStreamOutput(id);
    reportedTokens.put(id, outputTokens);
    if (isConnected()) {
      send(DispatchRequests.newBuilder().addProgress(progress(id, outputTokens)));
    } else if (localDispatch != null) {
      localDispatch.outputProgressed(requestId(id), outputTokens, clock.nowMillis());
      applyLocalDecisions();
    }
  }

  /** Remembers which software version a stream has, for callers that take it up at this gateway. */
  private void recordStreamOutput(long id) {
    PlacementListener request = openRequests.get(id);
    String version = request == null ? null : request.streamVersion();
    if (request != null && version != null) {
      knowledge
          .streamOrigins()
          .recordOutput(request.placementRequest(), version, clock.nowMillis());
    }
  }

  private static DispatchProgress progress(long id, int outputTokens) {
    return DispatchProgress.newBuilder().setId(id).setOutputTokens(outputTokens).build();
  }

  @Override
  public void reportCrash(String backend) {
    if (isConnected()) {
      List<RunningDispatch> runs =
          placedRequests().filter(run -> run.getBackend().equals(backend)).toList();
      crashReports.add(backend, runs, clock.nowMillis());
      send(DispatchRequests.newBuilder().addCrashedBackends(backend));
      return;
    }
    if (localDispatch == null) {
      loseScheduler("a backend server crashed after its time was up");
    }
    if (localDispatch != null) {
      localDispatch.backendCrashed(backend, clock.nowMillis());
      applyLocalDecisions();
    }
  }

  @Override
  public void reportStatements(
      long id, String backend, BackendStatements stated, long attemptStartedAtMillis) {
    if (stated.leaving()) {
      handleStatedLeaving(id, backend);
    }
    if (stated.restMillis() > 0) {
      handleStatedRest(id, backend, stated.restMillis());
    }
    if (backends.contains(backend)) {
      stated.malformed().forEach(statement -> warnMalformed(backend, statement));
      handleStatedRateLimit(id, backend, stated.rateLimit(), attemptStartedAtMillis);
      handleStatedLoad(id, backend, stated.load());
    }
  }

  @Override
  public boolean isRefusing(String backend) {
    BackendRecord record = backends.get(backend);
    return backends.isLeaving(backend)
        || knowledge.restTimes().isResting(self, backend, clock.nowMillis())
        || (record != null && (record.getLeaving() || isEvacuated(record)));
  }

  @Override
  public boolean isEvacuated(BackendRecord backend) {
    return evacuated.contains(backend);
  }

  private void handleStatedRest(long id, String backend, long restMillis) {
    long nowMillis = clock.nowMillis();
    knowledge.restTimes().state(self, backend, nowMillis + restMillis, nowMillis);
    Logger.info(
        "backend server {} wants no requests for {} ms (placement request {})",
        backend,
        restMillis,
        id);
    if (isConnected()) {
      sendStatement(
          BackendStatement.newBuilder().setId(id).setBackend(backend).setRestMillis(restMillis));
    }
  }

  /** Obeys at once what a backend server states, and tells the others through the scheduler. */
  private void handleStatedLeaving(long id, String backend) {
    if (!backends.recordLeaving(backend)) {
      return;
    }
    Logger.info("backend server {} states that it leaves (placement request {})", backend, id);
    BackendRecord record = backends.get(backend);
    if (isConnected()) {
      sendStatement(BackendStatement.newBuilder().setId(id).setBackend(backend).setLeaving(true));
    } else if (localDispatch != null && record != null) {
      localDispatch.updateBackend(record, clock.nowMillis());
      applyLocalDecisions();
    }
  }

  private void handleStatedLoad(long id, String backend, StatedLoad load) {
    BackendRecord record = backends.get(backend);
    if (record == null || !(load instanceof StatedLoad.Slowness slowness)) {
      return;
    }
    long nowMillis = clock.nowMillis();
    knowledge.capacities().state(record, slowness.percent(), nowMillis);
    if (isConnected() && loadReports.isDue(backend, nowMillis)) {
      sendStatement(
          BackendStatement.newBuilder()
              .setId(id)
              .setBackend(backend)
              .setSlownessPercent(slowness.percent()));
    }
  }

  private void handleStatedRateLimit(
      long id, String backend, StatedRateLimit stated, long attemptStartedAtMillis) {
    switch (stated) {
      case StatedRateLimit.RequestsPerSecond limit ->
          handleStatedLimit(id, backend, limit.value(), attemptStartedAtMillis);
      case StatedRateLimit.None ignored -> {
        if (knowledge.rateLimits().isLimited(backend)) {
          handleNoStatedLimit(id, backend, attemptStartedAtMillis);
        }
      }
      case StatedRateLimit.Malformed malformed ->
          warnMalformed(backend, "\"" + malformed.text() + "\" as its limit in requests/s");
    }
  }

  private void warnMalformed(String backend, String statement) {
    if (malformedStatements.add(backend)) {
      Logger.warn(
          "backend server {} states {}, which cannot be decoded; such statements are ignored",
          backend,
          statement);
    }
  }

  private void handleStatedLimit(
      long id, String backend, double requestsPerSecond, long attemptStartedAtMillis) {
    long nowMillis = clock.nowMillis();
    if (knowledge
        .rateLimits()
        .state(backend, requestsPerSecond, attemptStartedAtMillis, nowMillis)) {
      Logger.info(
          "backend server {} states a limit of {} requests/s (placement request {})",
          backend,
          requestsPerSecond,
          id);
    }
    if (isConnected()) {
      sendStatement(
          BackendStatement.newBuilder()
              .setId(id)
              .setBackend(backend)
              .setLimited(true)
              .setRequestsPerSecond(requestsPerSecond));
    }
  }

  /**
   * While there is a scheduler, it alone decides that a limit has ended: it knows when each request
   * was placed and what the other gateways heard.
   */
  private void handleNoStatedLimit(long id, String backend, long attemptStartedAtMillis) {
    if (isConnected()) {
      sendStatement(BackendStatement.newBuilder().setId(id).setBackend(backend));
    } else if (knowledge.rateLimits().end(backend, attemptStartedAtMillis, clock.nowMillis())) {
      Logger.info(
          "backend server {} no longer states a limit on requests (placement request {})",
          backend,
          id);
    }
  }

  private void sendStatement(BackendStatement.Builder statement) {
    send(DispatchRequests.newBuilder().addStatements(statement));
  }

  @Override
  public long blockedMillis(PlacementRequest placementRequest) {
    return knowledge.crashes().blockedMillis(placementRequest, clock.nowMillis());
  }

  @Override
  public void reportEnd(long id, DispatchOutcome outcome, int outputTokens) {
    recordStreamOutput(id);
    boolean finished =
        outcome != DispatchOutcome.DISPATCH_OUTCOME_MOVED
            && outcome != DispatchOutcome.DISPATCH_OUTCOME_MOVE_FAILED;
    if (finished) {
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

  /** Handles the scheduler's decisions; ignores those of another term or host. */
  void handle(String host, DispatchOrders orders) {
    if (orders.getTerm() != term || !host.equals(scheduler)) {
      recordIgnored(LinkCounters.Reason.OTHER_TERM, orders);
      return;
    }
    if (!isConnected()) {
      loseScheduler("its decisions arrived after its time was up");
      return;
    }
    if (orders.getStatusNumber() != statusNumber) {
      // Decisions from before the latest full status: the scheduler has revoked them since.
      recordIgnored(LinkCounters.Reason.EARLIER_STATUS, orders);
      if (clock.nowMillis() - fullStatusSentMillis >= STATUS_LOST_MILLIS) {
        reportState();
      }
      return;
    }
    lastMessageMillis = clock.nowMillis();
    orders.getWaitingList().forEach(unacknowledged::remove);
    for (Placement placement : orders.getPlacementsList()) {
      unacknowledged.remove(placement.getId());
      PlacementListener request = waitingRequest(placement.getId(), placement.getBackend());
      if (request != null) {
        recordRetry(request.placementRequest(), placement.getOnReserve());
        request.onPlaced(placement.getBackend(), placement.getUrgency(), placement.getBackup());
      }
    }
    for (Rejection rejection : orders.getRefusalsList()) {
      unacknowledged.remove(rejection.getId());
      PlacementListener request = waitingRequest(rejection.getId(), "");
      if (request != null) {
        openRequests.remove(rejection.getId());
        request.onRejected(rejection.getRetryAfterMillis(), rejection.getReason());
      }
    }
    for (Rejection stop : orders.getStopsList()) {
      PlacementListener request = runningRequest(stop.getId());
      if (request != null) {
        request.onStopped(stop.getRetryAfterMillis(), stop.getReason());
      }
    }
    for (MigrationOrder migration : orders.getMovesList()) {
      PlacementListener request = runningRequest(migration.getId());
      if (request != null) {
        request.onMigrate(migration.getTarget(), migration.getBackup());
      }
    }
  }

  private void recordRetry(PlacementRequest placed, boolean onReserve) {
    if (placed.getRepeat()) {
      retries.retryPlaced(placed.getService(), onReserve, retryLimits, clock.nowMillis());
    }
  }

  /**
   * Returns the request that waits for the decision on its placement. If it does not wait, counts
   * the decision as ignored, and has the view of the scheduler corrected if it differs.
   *
   * @param decidedBackend backend server that the decision names; empty for a rejection
   */
  private @Nullable PlacementListener waitingRequest(long id, String decidedBackend) {
    PlacementListener request = openRequests.get(id);
    if (request != null && request.backend().isEmpty()) {
      return request;
    }
    if (request != null) {
      recordIgnored(LinkCounters.Reason.RUNS_ALREADY, id);
      if (!request.backend().equals(decidedBackend)) {
        reportState();
      }
      return null;
    }
    recordIgnored(LinkCounters.Reason.UNKNOWN_REQUEST, id);
    if (!decidedBackend.isEmpty() && isConnected()) {
      DispatchEnd.Builder end =
          DispatchEnd.newBuilder().setId(id).setOutcome(DispatchOutcome.DISPATCH_OUTCOME_CANCELLED);
      send(DispatchRequests.newBuilder().addEnds(end));
    }
    return null;
  }

  /** Returns the request that has been placed; counts the decision as ignored if it has not. */
  private @Nullable PlacementListener runningRequest(long id) {
    PlacementListener request = openRequests.get(id);
    if (request == null) {
      recordIgnored(LinkCounters.Reason.UNKNOWN_REQUEST, id);
    } else if (request.backend().isEmpty()) {
      recordIgnored(LinkCounters.Reason.NOT_RUNNING, id);
      reportState();
      return null;
    }
    return request;
  }

  private void recordIgnored(LinkCounters.Reason reason, long id) {
    counters.recordIgnored(reason, 1, () -> "placement request " + id, clock.nowMillis());
  }

  private void recordIgnored(LinkCounters.Reason reason, DispatchOrders orders) {
    counters.recordIgnored(reason, orders, term, statusNumber, clock.nowMillis());
  }

  // ---- local fallback ---------------------------------------------------------------------------

  private void scheduleCheck() {
    if (!checkScheduled) {
      checkScheduled = true;
      loop.schedule(this::check, millisToNextCheck(clock.nowMillis()), TimeUnit.MILLISECONDS);
    }
  }

  /** Returns the time until the scheduler may count as lost or progress is due. */
  private long millisToNextCheck(long nowMillis) {
    if (localDispatch != null || scheduler.isEmpty()) {
      return CHECK_INTERVAL_MILLIS;
    }
    long lossMillis = lastMessageMillis + SCHEDULER_TIMEOUT_MILLIS + 1 - nowMillis;
    long progressMillis = lastProgressMillis + PROGRESS_INTERVAL_MILLIS - nowMillis;
    return Math.clamp(
        Math.min(lossMillis, progressMillis), MIN_CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS * 5);
  }

  /**
   * Detects the loss of the scheduler, advances local placement and reports progress. Repeats while
   * requests are open.
   */
  private void check() {
    checkScheduled = false;
    if (closed) {
      return;
    }
    if (!scheduler.isEmpty() && !isConnected()) {
      loseScheduler("no message within " + SCHEDULER_TIMEOUT_MILLIS + " ms");
    }
    if (localDispatch != null) {
      submitOverdue(localDispatch);
      localDispatch.tick(clock.nowMillis());
      localDispatch
          .drainReports(clock.nowMillis())
          .forEach(line -> Logger.info("in local fallback: {}", line));
      applyLocalDecisions();
    }
    reportProgress();
    if (!openRequests.isEmpty()) {
      scheduleCheck();
    }
  }

  /** Ends the periodic work. Nothing may be placed afterwards. */
  void close() {
    closed = true;
  }

  private void reportProgress() {
    long nowMillis = clock.nowMillis();
    if (nowMillis - lastProgressMillis < PROGRESS_INTERVAL_MILLIS || !isConnected()) {
      return;
    }
    lastProgressMillis = nowMillis;
    DispatchRequests.Builder requests = DispatchRequests.newBuilder();
    openRequests.forEach(
        (id, request) -> {
          int tokens = request.outputTokens();
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
    Logger.info(
        "scheduler {} of term {} lost: {} (last message {} ms ago);"
            + " placing {} open requests locally",
        scheduler,
        term,
        reason,
        clock.nowMillis() - lastMessageMillis,
        openRequests.size());
    scheduler = "";
    unacknowledged.clear();
    startLocalFallback();
  }

  /** Handles the loss of the connection to a host. */
  void disconnected(String host) {
    if (host.equals(scheduler)) {
      loseScheduler("connection lost");
    }
  }

  private void startLocalFallback() {
    long nowMillis = clock.nowMillis();
    retries.startFallback();
    awaitingScheduler.schedulerLost(nowMillis);
    backends.recordServing(nowMillis);
    knowledge.capacities().restoreReceived(nowMillis);
    knowledge.rateLimits().setShare(1.0 / mostGateways);
    knowledge.crashes().setKnowsAllRuns(retries.mostGateways() == 1);
    DispatchCore core = newLocalDispatch(nowMillis);
    localDispatch = core;
    List.copyOf(openRequests.values()).stream()
        .filter(request -> request.backend().isEmpty())
        .forEach(request -> submitLocally(core, request.placementRequest()));
    loop.execute(this::applyLocalDecisions);
    scheduleCheck();
  }

  /** Creates a core that knows what this gateway runs, and the crashes that it has seen lately. */
  private DispatchCore newLocalDispatch(long nowMillis) {
    DispatchCore core =
        new DispatchCore(retryLimits, gatewayCount, random, Set.of(), knowledge, features);
    core.setCatalog(catalog);
    core.setEvacuated(evacuated.names(), nowMillis);
    backends.withColdTimes(nowMillis).forEach(record -> core.updateBackend(record, nowMillis));
    placedRequests()
        .forEach(run -> core.restoreRunning(requestId(run.getAsk().getId()), run, nowMillis));
    crashReports.replay(core, openRequests.keySet(), nowMillis);
    return core;
  }

  private void placeLocally(PlacementRequest placementRequest) {
    DispatchCore core = localDispatch;
    if (core == null) {
      // startLocalFallback submits the new request with the other open requests.
      startLocalFallback();
      return;
    }
    submitLocally(core, placementRequest);
    loop.execute(this::applyLocalDecisions);
    scheduleCheck();
  }

  private void submitLocally(DispatchCore core, PlacementRequest placementRequest) {
    long nowMillis = clock.nowMillis();
    if (awaitingScheduler.add(placementRequest, knowledge.streamOrigins(), nowMillis)) {
      Logger.info(
          "placement request {} resumes a stream of unknown origin and waits for a scheduler",
          placementRequest.getId());
    } else {
      core.submit(requestId(placementRequest.getId()), placementRequest, nowMillis);
    }
  }

  /** Submits the requests that no scheduler has taken in time. */
  private void submitOverdue(DispatchCore core) {
    for (long id : awaitingScheduler.takeDue(clock.nowMillis())) {
      PlacementListener request = openRequests.get(id);
      if (request != null && request.backend().isEmpty()) {
        core.submit(requestId(id), request.placementRequest(), clock.nowMillis());
      }
    }
  }

  private RequestId requestId(long id) {
    return new RequestId(self, id);
  }

  private void applyLocalDecisions() {
    DispatchCore core = localDispatch;
    if (core == null) {
      return;
    }
    core.drainVersionDecisions()
        .forEach(
            line ->
                Logger.info(
                    "in local fallback, {} ms after the scheduler's last message: {}",
                    clock.nowMillis() - lastMessageMillis,
                    line));
    for (DispatchDecision decision : core.drainDecisions()) {
      long id = decision.requestId().id();
      PlacementListener request =
          switch (decision) {
            case DispatchDecision.Place placement -> waitingRequest(id, placement.backend());
            case DispatchDecision.Reject ignored -> waitingRequest(id, "");
            case DispatchDecision.Migrate ignored -> runningRequest(id);
            case DispatchDecision.Stop ignored -> runningRequest(id);
          };
      if (request == null) {
        continue;
      }
      switch (decision) {
        case DispatchDecision.Place placement ->
            request.onPlaced(placement.backend(), placement.urgency(), placement.backup());
        case DispatchDecision.Reject reject -> {
          openRequests.remove(id);
          request.onRejected(reject.retryAfterMillis(), reject.reason().name());
        }
        case DispatchDecision.Migrate migration ->
            request.onMigrate(migration.target(), migration.backup());
        case DispatchDecision.Stop stop ->
            request.onStopped(stop.retryAfterMillis(), stop.reason().name());
      }
    }
  }
}
