package org.curranthaven.internal.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.NavigableSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SortedSet;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.EngineCapabilities;
import org.curranthaven.internal.dispatch.SizeOutcomes.Result;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.curranthaven.internal.transport.wire.LearntCapacity;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.curranthaven.internal.transport.wire.RunningDispatch;
import org.curranthaven.internal.transport.wire.ServedVersion;
import org.curranthaven.internal.transport.wire.StreamOrigin;
import org.curranthaven.internal.transport.wire.SuspectRecord;
import org.jspecify.annotations.Nullable;

/**
 * Decides on which backend server each routed request runs, and queues or rejects the others. Owns
 * no clock, thread or socket: callers pass in events and the current time, and carry out what
 * {@link #drainDecisions} returns.
 *
 * <pre>{@code
 * core.updateBackend(registration, now);
 * core.submit(requestId, request, now);
 * core.drainDecisions().forEach(this::execute);
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class DispatchCore {
  /**
   * Time past its due time for which a request to a plain service stays queued; such requests are
   * short.
   */
  private static final long MAX_PLAIN_LATENESS_MILLIS = 300;

  /** Retry delay of a rejection that waiting does not end. */
  private static final long NO_RETRY_HELPS = 0;

  /** Retry delay of a rejection that only lasts until there is a scheduler. */
  private static final long NEXT_SCHEDULER_MILLIS = 1_000;

  /** Highest urgency value, which is the least urgent one. */
  private static final int MAX_URGENCY = 9;

  private final Set<Mechanism> disabled;
  private final RetryLimits retryLimits;
  private final Backends backends;
  private final DispatchQueue queue = new DispatchQueue();
  private final RetryAccounts retries;
  private final ServerCapacities capacities;
  private final CapacityView capacityView;
  private final CapacityRules capacityRules;
  private final EngineSpeeds speeds;
  private final QueueTimeForecast forecast;
  private final PlacementCost placementCost;
  private final Admission admission;
  private final OverloadGauge overloadGauge = new OverloadGauge();
  private final SizeOutcomes sizeOutcomes = new SizeOutcomes();
  private final BackupPlanner backupPlanner;
  private final MigrationPlanner migrationPlanner;
  private final CrashEvidence crashEvidence;
  private final BackendCrashes backendCrashes;
  private final RequestRateLimits rateLimits;
  private final StreamOrigins streamOrigins;
  private final VersionBinding versions;
  private final HeldRequests heldRequests;
  private List<DispatchDecision> decisions = new ArrayList<>();

  /** Whether the requests of a gateway are being replaced. */
  private boolean restoring;

  /**
   * Creates a core.
   *
   * @param capacityShares number of hosts that each place requests on the same backend servers in
   *     local fallback; 1 for the scheduler
   */
  public DispatchCore(RetryLimits retryLimits, int capacityShares, RandomGenerator random) {
    this(retryLimits, capacityShares, random, Set.of(), SharedKnowledge.ofScheduler());
  }

  /** Creates a core without some of its mechanisms, of a deployment that asks for no features. */
  public DispatchCore(
      RetryLimits retryLimits,
      int capacityShares,
      RandomGenerator random,
      Set<Mechanism> disabled,
      SharedKnowledge knowledge) {
    this(retryLimits, capacityShares, random, disabled, knowledge, DispatchFeatures.none());
  }

  /**
   * Creates a core without some of its mechanisms.
   *
   * @param capacityShares number of hosts that each place requests on the same backend servers in
   *     local fallback; 1 for the scheduler
   * @param disabled mechanisms to switch off
   * @param knowledge what is known so far; the core adds what is reported to it
   * @param features functions that the deployment asks for
   */
  public DispatchCore(
      RetryLimits retryLimits,
      int capacityShares,
      RandomGenerator random,
      Set<Mechanism> disabled,
      SharedKnowledge knowledge,
      DispatchFeatures features) {
    this.disabled = Set.copyOf(disabled);
    this.retryLimits = retryLimits;
    this.retries = knowledge.retries();
    this.backends = new Backends(isEnabled(Mechanism.EJECTION), knowledge.restTimes());
    this.rateLimits = knowledge.rateLimits();
    this.capacities = knowledge.capacities();
    this.capacityView =
        new CapacityView(capacities, capacityShares, isEnabled(Mechanism.SERVER_CAPACITY));
    this.capacityRules = new CapacityRules(capacityShares, rateLimits, capacityView);
    this.speeds = new EngineSpeeds(isEnabled(Mechanism.LEARNING));
    this.forecast =
        new QueueTimeForecast(
            backends,
            speeds,
            capacityView,
            capacityRules,
            rateLimits,
            random,
            isEnabled(Mechanism.LEARNING),
            features);
    this.admission =
        new Admission(features, backends, capacityRules, forecast, speeds, overloadGauge);
    this.placementCost =
        new PlacementCost(
            speeds,
            rateLimits.coldServers(),
            capacityView,
            random,
            capacityShares > 1,
            isEnabled(Mechanism.PROMPT_AFFINITY));
    TransferTargets targets = new TransferTargets(backends, capacityRules, capacityView);
    this.backupPlanner =
        new BackupPlanner(backends, targets, speeds, isEnabled(Mechanism.BACKUP_COPIES));
    this.migrationPlanner =
        new MigrationPlanner(
            backends,
            targets,
            backupPlanner,
            speeds,
            rateLimits,
            isEnabled(Mechanism.MIGRATION),
            decision -> decisions.add(decision));
    this.crashEvidence = knowledge.crashes();
    this.backendCrashes = new BackendCrashes(backends, crashEvidence);
    this.streamOrigins = knowledge.streamOrigins();
    this.versions = new VersionBinding(backends, streamOrigins);
    this.heldRequests =
        new HeldRequests(backends, versions, backendCrashes, capacityRules, forecast);
  }

  private boolean isEnabled(Mechanism mechanism) {
    return !disabled.contains(mechanism);
  }

  /** Returns and clears the decisions made since the last invocation, in order. */
  public List<DispatchDecision> drainDecisions() {
    if (decisions.isEmpty()) {
      return List.of();
    }
    List<DispatchDecision> drained = decisions;
    decisions = new ArrayList<>();
    return drained;
  }

  /** Returns and clears the changes of memory reserves since the last invocation, to be logged. */
  public List<ReserveChange> drainReserveChanges() {
    return admission.drainChanges();
  }

  /**
   * Returns and clears lines that tell by what the software versions of resumed streams were
   * decided, to be logged.
   */
  public List<String> drainVersionDecisions() {
    return versions.drainDecisions();
  }

  /** Returns and clears the first retries of a window that were refused, to be logged. */
  public List<RetryRefusal> drainRetryRefusals() {
    return retries.drainRefusals();
  }

  /** Returns and clears the lines to be logged since the last invocation. */
  public List<String> drainReports(long nowMillis) {
    List<String> lines = new ArrayList<>();
    drainReserveChanges().forEach(change -> lines.add("memory reserve: " + change));
    drainRetryRefusals().forEach(refusal -> lines.add("retry refused: " + refusal));
    lines.addAll(sizeOutcomes.drain(nowMillis));
    return lines;
  }

  /** Returns the memory reserves as they were reported last, for the state dump. */
  public List<String> memoryReserves() {
    return admission.reported().stream().map(ReserveChange::toString).sorted().toList();
  }

  /** Returns the number of queued requests. */
  public int queuedRequests() {
    return queue.size();
  }

  /** Returns whether the request is queued for capacity. */
  public boolean isQueued(RequestId requestId) {
    return queue.contains(requestId);
  }

  /** Returns whether the request runs on a backend server. */
  public boolean isRunning(RequestId requestId) {
    return backends.backendOf(requestId) != null;
  }

  /** Returns the number of requests that run on backend servers. */
  public int runningRequests() {
    return backends.runningRequests();
  }

  // ---- backend servers --------------------------------------------------------------------------

  /** Activates a catalog. */
  public void setCatalog(Catalog newCatalog) {
    backends.setCatalog(newCatalog);
    rateLimits.coldServers().setCatalog(newCatalog);
  }

  /** Handles the registration of a new backend server or an update to a known one. */
  public void updateBackend(BackendRecord registration, long nowMillis) {
    if (backendCrashes.handleRegistration(registration, nowMillis)) {
      enforceBlocks(nowMillis);
    }
    backends.register(registration, nowMillis);
    rateLimits.coldServers().register(registration, nowMillis);
    streamOrigins.recordServing(
        registration.getService(), registration.getSoftwareVersion(), nowMillis);
    migrateFrom(registration.getId(), nowMillis);
    serveQueue(registration.getService(), nowMillis);
  }

  /**
   * Replaces the data centres whose backend servers receive nothing new; requests that run there
   * continue. Rejects the queued requests that only such backend servers could serve.
   */
  public void setEvacuated(Set<String> dataCentres, long nowMillis) {
    List<String> ended =
        backends.evacuated().stream().filter(name -> !dataCentres.contains(name)).toList();
    backends.setEvacuated(dataCentres, nowMillis);
    // They may have become cold meanwhile.
    ended.forEach(dataCentre -> markColdUntilRegistered(dataCentre, nowMillis));
    queue.ids().forEach(this::rejectIfEvacuated);
    queue.services().forEach(service -> serveQueue(service, nowMillis));
  }

  private void rejectIfEvacuated(RequestId requestId) {
    if (backends.isEvacuated(queue.requestOf(requestId))) {
      queue.remove(requestId);
      rejectEvacuated(requestId);
    }
  }

  private void rejectEvacuated(RequestId requestId) {
    reject(requestId, forecast.retryAfterMillis(Double.MAX_VALUE), RejectionReason.NO_BACKEND);
  }

  /** Records that a backend server accepts no new requests; those running on it may continue. */
  public void removeBackend(String id, long nowMillis) {
    BackendState backend = backends.get(id);
    if (backend == null) {
      return;
    }
    rateLimits.coldServers().remove(id);
    versions.recordServing(backend, nowMillis);
    backend.updateRegistration(
        backend.registration().toBuilder().setLeaving(true).build(), nowMillis);
    migrationPlanner.migrateFrom(backend, nowMillis);
    backends.removeIfDrained(backend);
  }

  /** Marks the data centre's backend servers as cold until each registers again. */
  public void markColdUntilRegistered(String dataCentre, long nowMillis) {
    rateLimits.coldServers().markColdUntilRegistered(dataCentre, nowMillis);
  }

  /** Returns whether the backend server counts as cold only because it has not registered since. */
  public boolean isColdUntilRegistered(String id) {
    return rateLimits.coldServers().isColdUntilRegistered(id);
  }

  /**
   * Handles the report that a backend server closed a connection before the end of a response and
   * refuses new ones. Takes it out of use; if a request or a part of prompts becomes blocked,
   * rejects the queued requests with it and stops the running ones that it may still crash.
   */
  public void backendCrashed(String id, long nowMillis) {
    rateLimits.coldServers().recordCrash(id, nowMillis);
    capacities.forget(id);
    BackendState backend = backends.get(id);
    if (backend != null && backendCrashes.handleCrash(backend, nowMillis)) {
      enforceBlocks(nowMillis);
    }
  }

  /** Adds what another host knows of crashes. */
  public void restoreCrashes(Collection<SuspectRecord> crashSuspects, long nowMillis) {
    crashEvidence.merge(crashSuspects, nowMillis);
    enforceBlocks(nowMillis);
  }

  /** Adds what another host knows of the software versions of streams. */
  public void restoreStreams(
      Collection<StreamOrigin> origins, Collection<ServedVersion> served, long nowMillis) {
    streamOrigins.merge(origins, served, nowMillis);
  }

  /** Returns the software versions that serve or have served lately, for other hosts. */
  public List<ServedVersion> servedVersions(long nowMillis) {
    return versions.exportServed(nowMillis);
  }

  private void enforceBlocks(long nowMillis) {
    for (RequestId requestId : queue.ids()) {
      long blockedMillis = crashEvidence.blockedMillis(queue.requestOf(requestId), nowMillis);
      if (blockedMillis > 0) {
        queue.remove(requestId);
        reject(requestId, blockedMillis, RejectionReason.CRASHES_BACKENDS);
      }
    }
    for (RunningRequest running : backends.runningRequestsOnUsableBackends()) {
      long blockedMillis = crashEvidence.blockedMillis(running.request, nowMillis);
      if (blockedMillis > 0
          && (!running.hasContinuedOutput() || crashEvidence.isSuspect(running.request))) {
        decisions.add(
            new DispatchDecision.Stop(running.id, blockedMillis, RejectionReason.CRASHES_BACKENDS));
      }
    }
  }

  /**
   * Handles a response that states a limit on the requests that its backend server accepts.
   *
   * @return whether the limit is new or has changed
   */
  public boolean rateLimitStated(
      RequestId requestId, String backend, double requestsPerSecond, long nowMillis) {
    if (backends.get(backend) == null) {
      return false;
    }
    RunningRequest running = runningOn(backend, requestId);
    long placedAtMillis = running == null ? nowMillis : running.placedAtMillis;
    return rateLimits.state(backend, requestsPerSecond, placedAtMillis, nowMillis);
  }

  /**
   * Handles a response without such a limit, which may show that the limit has ended.
   *
   * @return whether it has
   */
  public boolean noRateLimitStated(RequestId requestId, String backend, long nowMillis) {
    RunningRequest running = runningOn(backend, requestId);
    if (running == null
        || running.restored
        || !rateLimits.end(backend, running.placedAtMillis, nowMillis)) {
      return false;
    }
    serveQueue(running.request.getService(), nowMillis);
    return true;
  }

  /** Handles a response that states how slow the machine of its backend server is. */
  public void slownessStated(String backendId, int percent, long nowMillis) {
    BackendState backend = backends.get(backendId);
    if (backend != null) {
      capacities.state(backend.registration(), percent, nowMillis);
    }
  }

  /** Adds what another host has learnt of the capacity of backend servers. */
  public void restoreCapacities(Collection<LearntCapacity> learnt, long nowMillis) {
    capacities.merge(learnt, this::registrationOf, nowMillis);
  }

  private @Nullable BackendRecord registrationOf(String backendId) {
    BackendState backend = backends.get(backendId);
    return backend == null ? null : backend.registration();
  }

  private @Nullable RunningRequest runningOn(String backendId, RequestId requestId) {
    BackendState backend = backends.get(backendId);
    return backend == null ? null : backend.requests.get(requestId);
  }

  private void migrateFrom(String id, long nowMillis) {
    BackendState backend = backends.get(id);
    if (backend != null) {
      migrationPlanner.migrateFrom(backend, nowMillis);
    }
  }

  // ---- requests ---------------------------------------------------------------------------------

  /**
   * Places, queues or rejects a request. One that is queued or placed already comes again because
   * the reply was lost or late: it stays where it is, and its placement is told again.
   */
  public void submit(RequestId requestId, PlacementRequest request, long nowMillis) {
    if (queue.contains(requestId) || tellPlacementAgain(requestId)) {
      return;
    }
    crashEvidence.recordRequest(request);
    long blockedMillis = crashEvidence.blockedMillis(request, nowMillis);
    if (blockedMillis > 0) {
      reject(requestId, blockedMillis, RejectionReason.CRASHES_BACKENDS);
      return;
    }
    PlacementRequest bound = versions.bind(request, nowMillis);
    if (RegionBinding.isUnservable(backends, request)) {
      reject(requestId, NO_RETRY_HELPS, RejectionReason.NO_BACKEND_IN_REGIONS);
    } else if (bound == null) {
      boolean retryHelps = streamOrigins.mayBeKnownToLeader(request, nowMillis);
      long retryAfterMillis = retryHelps ? NEXT_SCHEDULER_MILLIS : NO_RETRY_HELPS;
      reject(requestId, retryAfterMillis, RejectionReason.STREAM_ORIGIN_UNKNOWN);
    } else if (versions.isVersionGone(bound)) {
      reject(requestId, NO_RETRY_HELPS, RejectionReason.STREAM_VERSION_GONE);
    } else {
      submitBound(requestId, bound, nowMillis);
    }
  }

  private boolean tellPlacementAgain(RequestId requestId) {
    BackendState backend = backends.backendOf(requestId);
    RunningRequest running = backend == null ? null : backend.requests.get(requestId);
    if (backend == null || running == null) {
      return false;
    }
    decisions.add(placementOf(running, backend));
    return true;
  }

  private static DispatchDecision placementOf(RunningRequest running, BackendState backend) {
    int urgency = Math.min(MAX_URGENCY, running.request.getPriority());
    return new DispatchDecision.Place(running.id, backend.id(), urgency, running.backup);
  }

  private void submitBound(RequestId requestId, PlacementRequest request, long nowMillis) {
    if (!request.getRepeat() && !request.getCounted()) {
      retries.recordRequest(requestId, request.getService(), retryLimits, nowMillis);
    }
    if (request.getRepeat()
        && !retries.tryRetry(requestId, request.getService(), retryLimits, nowMillis)) {
      reject(requestId, QueueTimeForecast.MIN_RETRY_AFTER_MILLIS, RejectionReason.RETRIES_USED_UP);
      return;
    }
    admission.recordArrival(request, nowMillis);
    SortedSet<QueuedRequest> serviceQueue = queue.requestsOf(request.getService());
    boolean ranksFirst =
        serviceQueue.isEmpty()
            || request.getPriority() < serviceQueue.first().request().getPriority()
            || admission.ranksBefore(request, serviceQueue.first())
            || heldRequests.waitsApart(serviceQueue.first(), nowMillis);
    PlacementResult result =
        ranksFirst
            ? place(requestId, request, request.getTargetLeftMillis(), nowMillis)
            : PlacementResult.NO_CAPACITY;
    if (result == PlacementResult.PLACED) {
      sizeOutcomes.record(request, Result.PLACED_AT_ONCE);
    } else {
      queueOrReject(requestId, request, result, nowMillis);
    }
  }

  private void queueOrReject(
      RequestId requestId, PlacementRequest request, PlacementResult result, long nowMillis) {
    if (isTooLarge(request)) {
      reject(requestId, forecast.retryAfterMillis(Double.MAX_VALUE), RejectionReason.TOO_LARGE);
      return;
    }
    long targetLeftMillis =
        Math.min(request.getTargetLeftMillis(), request.getDeadlineLeftMillis());
    boolean hasBackend = backends.hasUsableFor(requestId, request, nowMillis);
    OptionalLong restLeftMillis =
        hasBackend ? OptionalLong.empty() : backends.restLeftMillis(requestId, request, nowMillis);
    boolean mayWait = hasBackend || restLeftMillis.isPresent();
    if (!mayWait && request.getExcludedCount() > 0) {
      reject(requestId, QueueTimeForecast.MIN_RETRY_AFTER_MILLIS, RejectionReason.ALL_TRIED);
      return;
    }
    if (!mayWait && backends.isEvacuated(request)) {
      rejectEvacuated(requestId);
      return;
    }
    double expectedMillis =
        hasBackend
            ? expectedQueueMillis(request, result, nowMillis)
            : restLeftMillis.orElse(QueueTimeForecast.UNKNOWN_SERVICE_TIMEOUT_MILLIS);
    long firstReplyMillis = forecast.idleFirstReplyMillis(request, nowMillis);
    boolean inTime =
        !isEnabled(Mechanism.EARLY_REJECTION)
            || (admission.isReturned(request) && firstReplyMillis <= targetLeftMillis)
            || (mayWait
                ? expectedMillis + firstReplyMillis <= targetLeftMillis
                : targetLeftMillis > expectedMillis);
    if (!inTime || queue.isFull() || !isEnabled(Mechanism.QUEUE)) {
      if (!hasBackend || !placeLate(requestId, request, nowMillis)) {
        boolean promptTooLong = firstReplyMillis > targetLeftMillis;
        sizeOutcomes.record(
            request,
            promptTooLong ? Result.REJECTED_PROMPT_TOO_LONG : Result.REJECTED_BEFORE_WAITING);
        rejectForCapacity(requestId, request, hasBackend, expectedMillis, nowMillis);
      }
      return;
    }
    long maxQueueMillis =
        request.getEngine()
            ? targetLeftMillis - firstReplyMillis
            : targetLeftMillis + MAX_PLAIN_LATENESS_MILLIS;
    long queueMillis = mayWait ? maxQueueMillis : QueueTimeForecast.UNKNOWN_SERVICE_TIMEOUT_MILLIS;
    long expiresAtMillis = nowMillis + Math.min(queueMillis, request.getDeadlineLeftMillis());
    long dueAtMillis = nowMillis + request.getTargetLeftMillis();
    long rankMillis = isEnabled(Mechanism.DUE_TIME_ORDER) ? dueAtMillis : nowMillis;
    queue.add(
        new QueuedRequest(
            requestId,
            request,
            admission.rankMillis(request, rankMillis),
            queue.takeSequenceNumber(),
            forecast.neededMemoryTokens(request),
            admission.isReturned(request),
            dueAtMillis,
            expiresAtMillis));
  }

  /** Returns whether no engine of the service can ever hold the request. */
  private boolean isTooLarge(PlacementRequest request) {
    EngineCapabilities engine = backends.engineOf(request.getService());
    return engine != null && request.getPromptTokens() >= engine.memoryTokens();
  }

  private double expectedQueueMillis(
      PlacementRequest request, PlacementResult result, long nowMillis) {
    // A backend server has capacity but must process too many prompt tokens first. Processing them
    // brings the start of this request nearer all the time, so nothing needs to be freed for it.
    return result == PlacementResult.LATE
        ? 0
        : forecast.expectedQueueMillis(
            request,
            admission.ahead(request, queue.of(request.getService()), nowMillis),
            nowMillis);
  }

  /** Records how many tokens a request has output so far. */
  public void outputProgressed(RequestId requestId, int outputTokens, long nowMillis) {
    BackendState backend = backends.backendOf(requestId);
    RunningRequest running = backend == null ? null : backend.requests.get(requestId);
    if (backend == null || running == null) {
      return;
    }
    boolean isFirstOutput = running.outputTokens() == 0 && outputTokens > 0;
    boolean progressed = outputTokens > running.outputTokens();
    capacityView.recordOutput(running, backend, outputTokens, nowMillis);
    running.outputProgressed(outputTokens, backend, nowMillis, speeds);
    if (progressed) {
      backendCrashes.recordOutput(running, backend, nowMillis);
      versions.recordOutput(running, backend, nowMillis);
    }
    if (isFirstOutput) {
      backends.recordFirstReply(backend);
      migrationPlanner.migrateFrom(backend, nowMillis);
      serveQueue(backend.service(), nowMillis);
    }
  }

  /**
   * Handles the end of a request, whether it was queued or running, or of its migration: the
   * outcome tells which.
   */
  public void requestEnded(
      RequestId requestId, DispatchOutcome outcome, int outputTokens, long nowMillis) {
    QueuedRequest queued = queue.remove(requestId);
    if (queued != null) {
      sizeOutcomes.record(queued.request(), Result.LEFT_QUEUE);
      retries.requestEnded(requestId);
      return;
    }
    BackendState backend = backends.backendOf(requestId);
    if (backend == null) {
      return;
    }
    switch (outcome) {
      case DISPATCH_OUTCOME_MOVED -> migrationPlanner.leftSource(requestId, backend, nowMillis);
      case DISPATCH_OUTCOME_MOVE_FAILED ->
          migrationPlanner.migrationFailed(requestId, backend, nowMillis);
      default -> finishRunning(requestId, backend, outcome, outputTokens, nowMillis);
    }
    if (backends.backendOf(requestId) == null) {
      admission.recordGone(requestId);
      retries.requestEnded(requestId);
    }
    migrationPlanner.migrateFrom(backend, nowMillis);
    serveQueue(backend.service(), nowMillis);
  }

  private void finishRunning(
      RequestId requestId,
      BackendState backend,
      DispatchOutcome outcome,
      int outputTokens,
      long nowMillis) {
    backends.removePlacement(requestId);
    RunningRequest running = backend.requests.remove(requestId);
    if (running == null) {
      return;
    }
    admission.recordEnd(running, nowMillis);
    sizeOutcomes.recordEnd(running.request, outcome);
    if (outputTokens > 0) {
      versions.recordOutput(running, backend, nowMillis);
    }
    backupPlanner.release(running);
    if (running.migratingAway) {
      migrationPlanner.migrationFailed(requestId, backend, nowMillis);
    }
    switch (outcome) {
      case DISPATCH_OUTCOME_ANSWERED -> {
        backends.recordSuccess(backend);
        capacityView.recordAnswer(running, backend, outputTokens, nowMillis);
        backendCrashes.recordCompletion(running, outputTokens, nowMillis);
        if (running.request.getEngine() || !rateLimits.isLimited(backend.id())) {
          // A plain backend server with a limit takes longer than its service usually does.
          forecast.recordCompletion(running, outputTokens, nowMillis);
        }
      }
      case DISPATCH_OUTCOME_FAILED, DISPATCH_OUTCOME_UNREACHABLE -> {
        backends.recordFailure(backend, nowMillis);
        capacityView.recordFailure(backend, nowMillis);
      }
      case DISPATCH_OUTCOME_CONNECTION_LOST -> {
        backends.recordFailure(backend, nowMillis);
        capacityView.recordFailure(backend, nowMillis);
        backend.recordLostConnection(running, nowMillis);
      }
      case DISPATCH_OUTCOME_REJECTED ->
          backend.markFull(nowMillis + CapacityRules.FULL_BACKOFF_MILLIS);
      default -> {}
    }
    backends.removeIfDrained(backend);
  }

  /**
   * Restores a running request that another scheduler placed, its backup copy and its migration.
   */
  public void restoreRunning(RequestId requestId, RunningDispatch dispatch, long nowMillis) {
    BackendState backend = backends.get(dispatch.getBackend());
    if (backend == null) {
      return;
    }
    PlacementRequest request = dispatch.getAsk();
    RunningRequest running = newRunning(requestId, request, nowMillis);
    running.restored = true;
    running.outputProgressed(dispatch.getOutputTokens());
    backends.addPlacement(running, backend);
    admission.recordPlacement(running, nowMillis);
    backupPlanner.restore(running, dispatch.getBackup());
    if (!dispatch.getMigrationTarget().isEmpty()) {
      migrationPlanner.restoreMigration(
          running, dispatch.getMigrationTarget(), dispatch.getMigrationBackup(), nowMillis);
    }
    migrationPlanner.migrateFrom(backend, nowMillis);
  }

  /**
   * Replaces the requests of a gateway by those that it reports. Until they are restored, no queued
   * request is placed: those that were known before may still be running.
   *
   * @param restoration restores what the gateway reports
   */
  public void replaceGateway(String gateway, Runnable restoration, long nowMillis) {
    restoring = true;
    try {
      cancelAll(gateway, nowMillis);
      backendCrashes.gatewayReported(gateway);
      restoration.run();
    } finally {
      restoring = false;
    }
    queue.services().forEach(service -> serveQueue(service, nowMillis));
  }

  /** Cancels all requests of a gateway that was removed. */
  public void removeGateway(String gateway, long nowMillis) {
    backendCrashes.gatewayLost(gateway, nowMillis);
    cancelAll(gateway, nowMillis);
  }

  private void cancelAll(String gateway, long nowMillis) {
    List<RequestId> requestIds = new ArrayList<>(queue.ids());
    requestIds.addAll(backends.runningRequestIds());
    requestIds.removeIf(requestId -> !requestId.gateway().equals(gateway));
    requestIds.forEach(
        requestId ->
            requestEnded(requestId, DispatchOutcome.DISPATCH_OUTCOME_CANCELLED, 0, nowMillis));
  }

  /**
   * Places or rejects the requests that expired in the queue, tries to place the other queued ones,
   * and migrates requests away from leaving engines.
   */
  public void tick(long nowMillis) {
    backendCrashes.tick(nowMillis);
    admission.tick(nowMillis);
    rateLimits.discard(id -> backends.get(id) != null, nowMillis);
    capacities.discard(id -> backends.get(id) != null);
    for (QueuedRequest queued : queue.expired(nowMillis)) {
      queue.remove(queued.id());
      if (!placeLate(queued.id(), queued.request(), nowMillis)) {
        sizeOutcomes.record(queued.request(), Result.REJECTED_AFTER_WAITING);
        double expectedMillis =
            expectedQueueMillis(queued.request(), PlacementResult.NO_CAPACITY, nowMillis);
        rejectForCapacity(
            queued.id(),
            queued.request(),
            backends.hasUsableFor(queued.id(), queued.request(), nowMillis),
            expectedMillis,
            nowMillis);
      }
    }
    queue.services().forEach(service -> serveQueue(service, nowMillis));
    for (BackendState backend : List.copyOf(backends.all())) {
      migrationPlanner.migrateFrom(backend, nowMillis);
    }
  }

  // ---- placement --------------------------------------------------------------------------------

  private void serveQueue(String service, long nowMillis) {
    if (restoring || !serveByUse(service, nowMillis)) {
      return;
    }
    NavigableSet<QueuedRequest> serviceQueue = queue.requestsOf(service);
    QueuedRequest queued = serviceQueue.isEmpty() ? null : serviceQueue.first();
    while (queued != null) {
      PlacementResult result =
          place(queued.id(), queued.request(), queued.dueAtMillis() - nowMillis, nowMillis);
      if (result == PlacementResult.PLACED) {
        removePlaced(queued);
      } else if (result == PlacementResult.NO_CAPACITY
          && !heldRequests.waitsApart(queued, nowMillis)) {
        // Requests behind it would take the capacity that a large request waits for.
        return;
      }
      queued = serviceQueue.higher(queued);
    }
  }

  private void removePlaced(QueuedRequest queued) {
    sizeOutcomes.record(queued.request(), Result.PLACED_AFTER_WAITING);
    queue.remove(queued.id());
  }

  /**
   * Places queued requests of the workspaces that use the least memory while the service is
   * overloaded.
   *
   * @return whether other queued requests may be placed too
   */
  private boolean serveByUse(String service, long nowMillis) {
    QueuedRequest queued = admission.firstByUse(queue.of(service), service);
    while (queued != null) {
      PlacementResult result =
          place(queued.id(), queued.request(), queued.dueAtMillis() - nowMillis, nowMillis);
      if (result != PlacementResult.PLACED) {
        return result == PlacementResult.LATE || heldRequests.waitsApart(queued, nowMillis);
      }
      removePlaced(queued);
      queued = admission.firstByUse(queue.of(service), service);
    }
    return true;
  }

  /** Outcome of trying to place a request. */
  private enum PlacementResult {
    PLACED,
    /** No backend server has capacity. */
    NO_CAPACITY,
    /** There is capacity, but so many prompt tokens to process first that it would be late. */
    LATE
  }

  private RunningRequest newRunning(RequestId requestId, PlacementRequest request, long nowMillis) {
    return new RunningRequest(
        requestId,
        request,
        forecast.outputTokens(request),
        isEnabled(Mechanism.MEMORY_FORECAST),
        nowMillis);
  }

  /** Places a request on a backend server where it can meet its due time. */
  private PlacementResult place(
      RequestId requestId, PlacementRequest request, long targetLeftMillis, long nowMillis) {
    if (backendCrashes.isHeld(requestId, request, nowMillis)) {
      return PlacementResult.NO_CAPACITY;
    }
    RunningRequest running = newRunning(requestId, request, nowMillis);
    List<BackendState> candidates = withCapacity(running, CapacityRules.MEMORY_SHARE, nowMillis);
    BackendState preferred =
        cheapestInTime(
            versions.withoutReplaced(candidates, request), request, targetLeftMillis, nowMillis);
    BackendState chosen =
        preferred == null
            ? cheapestInTime(candidates, request, targetLeftMillis, nowMillis)
            : preferred;
    if (chosen != null) {
      overloadGauge.recordPlacedInTime(request.getService());
      commitPlacement(running, chosen, nowMillis);
      return PlacementResult.PLACED;
    }
    return candidates.isEmpty() ? PlacementResult.NO_CAPACITY : PlacementResult.LATE;
  }

  private @Nullable BackendState cheapestInTime(
      List<BackendState> candidates,
      PlacementRequest request,
      long targetLeftMillis,
      long nowMillis) {
    return cheapest(
        candidates.stream()
            .filter(backend -> isInTime(backend, request, targetLeftMillis, nowMillis)),
        request,
        nowMillis);
  }

  private boolean isInTime(
      BackendState backend, PlacementRequest request, long targetLeftMillis, long nowMillis) {
    int promptTokens = backend.pendingPromptTokens() + request.getPromptTokens();
    return !request.getEngine()
        || forecast.firstReplyMillis(backend, request, promptTokens, nowMillis) <= targetLeftMillis;
  }

  /**
   * Places a request that cannot meet its due time, if that takes no capacity from others: none
   * while the engines are overloaded, since a late request would keep others from being in time.
   */
  private boolean placeLate(RequestId requestId, PlacementRequest request, long nowMillis) {
    overloadGauge.recordMissed(request.getService());
    if (!isEnabled(Mechanism.LATE_PLACEMENT)
        || backendCrashes.isHeld(requestId, request, nowMillis)
        || (request.getEngine() && overloadGauge.isOverloaded(request.getService()))) {
      return false;
    }
    RunningRequest running = newRunning(requestId, request, nowMillis);
    boolean othersQueued = !queue.requestsOf(request.getService()).isEmpty();
    double memoryShare =
        othersQueued ? CapacityRules.LATE_MEMORY_SHARE : CapacityRules.MEMORY_SHARE;
    List<BackendState> candidates = withCapacity(running, memoryShare, nowMillis);
    BackendState chosen = cheapest(candidates.stream(), request, nowMillis);
    if (chosen != null) {
      sizeOutcomes.record(request, Result.PLACED_LATE);
      commitPlacement(running, chosen, nowMillis);
    }
    return chosen != null;
  }

  private List<BackendState> withCapacity(
      RunningRequest running, double memoryShare, long nowMillis) {
    PlacementRequest request = running.request;
    EngineCapabilities engine = backends.engineOf(request.getService());
    double requestTokens = running.memoryTokens();
    List<BackendState> candidates =
        backends
            .usableFor(running.id, request, nowMillis)
            .filter(
                backend ->
                    capacityRules.hasCapacity(
                        backend, engine, requestTokens, memoryShare, nowMillis))
            .toList();
    return admission.withoutReserved(
        versions.withoutAwaited(
            candidates, request, queue.of(request.getService()).awaitedVersions()),
        running,
        nowMillis);
  }

  private @Nullable BackendState cheapest(
      Stream<BackendState> candidates, PlacementRequest request, long nowMillis) {
    EngineCapabilities engine = backends.engineOf(request.getService());
    int outputTokens = engine == null ? 0 : forecast.outputTokens(request);
    return Backends.cheapest(
        candidates, backend -> placementCost.of(backend, engine, request, outputTokens, nowMillis));
  }

  private void commitPlacement(RunningRequest running, BackendState chosen, long nowMillis) {
    running.promptTokensToFirstReply =
        chosen.pendingPromptTokens() + running.request.getPromptTokens();
    backends.addPlacement(running, chosen);
    admission.recordPlacement(running, nowMillis);
    capacityView.recordPlacement(running, chosen, nowMillis);
    rateLimits.recordPlacement(chosen.id(), nowMillis);
    retries.placed(running.id, retryLimits, nowMillis);
    chosen.promptPartCache.add(running.request.getPartsList());
    backupPlanner.assign(chosen, running, nowMillis);
    decisions.add(placementOf(running, chosen));
  }

  // ---- rejection --------------------------------------------------------------------------------

  private void rejectForCapacity(
      RequestId requestId,
      PlacementRequest request,
      boolean hasBackend,
      double expectedMillis,
      long nowMillis) {
    long retryAfterMillis = forecast.retryAfterMillis(expectedMillis);
    admission.recordRejection(request, retryAfterMillis, nowMillis);
    reject(
        requestId,
        retryAfterMillis,
        hasBackend ? RejectionReason.NO_ROOM_IN_TIME : RejectionReason.NO_BACKEND);
  }

  private void reject(RequestId requestId, long retryAfterMillis, RejectionReason reason) {
    retries.requestEnded(requestId);
    decisions.add(new DispatchDecision.Reject(requestId, retryAfterMillis, reason));
  }
}
