package org.curranthaven.internal.relay;

import io.netty.handler.codec.http.HttpResponse;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.curranthaven.api.Failure;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.catalog.EngineCapabilities;
import org.curranthaven.internal.catalog.HomeRegions;
import org.curranthaven.internal.catalog.Repeatability;
import org.curranthaven.internal.catalog.Route;
import org.curranthaven.internal.catalog.ServiceSpec;
import org.curranthaven.internal.catalog.ServiceVersion;
import org.curranthaven.internal.dispatch.RegionBinding;
import org.curranthaven.internal.dispatch.RejectionReason;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.curranthaven.internal.transport.wire.PromptPart;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * One request from its arrival to its final response: requests its placement, sends it to a backend
 * server, retries it where its route allows that, and relays the response. Confined to the event
 * loop.
 */
final class RoutedRequest
    implements CallerRequest,
        RequestPlacer.PlacementListener,
        Attempt.Listener,
        MigrationCoordinator.Owner {
  /** Time to the deadline below which no further attempt is made. */
  private static final long MIN_ATTEMPT_MILLIS = 5;

  private static final long RETRY_AFTER_MILLIS = 500;

  /**
   * Longest idle time of a connection that is reused for a request that must not run twice. A
   * longer idle connection may be closed already, and the request would then fail without a retry.
   */
  private static final long UNREPEATABLE_MAX_IDLE_MILLIS = 250;

  private static final int DEFAULT_TOKENS_PER_EVENT = 1;

  private final RelayContext context;
  private final CallerConnection caller;
  private final InboundRequest request;
  private final Route route;
  private final ServiceSpec service;
  private final String workspace;
  private final int priority;
  private final long deadlineAtMillis;
  private final ScheduledFuture<?> deadlineTimer;
  private final RequestProgress progress;
  private final long fingerprint;
  private final MigrationCoordinator migration;
  private final AttemptHistory history = new AttemptHistory();
  private final Set<String> excludedBackends = new LinkedHashSet<>();
  private long placementId;
  private @Nullable PlacementRequest pendingPlacement;
  private @Nullable Attempt attempt;
  private AttemptResult.@Nullable Completed lastFailedResponse;
  private String backend = "";
  private String backup = "";
  private int urgency;
  private boolean streamStarted;

  /** Software version that began the stream of the response, the only one that may continue it. */
  private @Nullable String streamVersion;

  private final HomeRegions homeRegions;

  private boolean placed;
  private boolean finished;

  RoutedRequest(
      RelayContext context,
      CallerConnection caller,
      InboundRequest request,
      RouteChoice choice,
      long fingerprint,
      long arrivedAtMillis) {
    this.context = context;
    this.caller = caller;
    this.request = request;
    this.route = choice.route();
    this.service = choice.service();
    this.workspace = choice.workspace();
    this.priority = choice.priority();
    this.homeRegions = choice.homeRegions();
    EngineCapabilities engine = service.engine();
    int tokensPerEvent = engine == null ? DEFAULT_TOKENS_PER_EVENT : engine.tokensPerEvent();
    this.progress =
        new RequestProgress(route, tokensPerEvent, request.lastEventId(), arrivedAtMillis);
    this.migration = new MigrationCoordinator(context, request, route, engine, progress, this);
    this.fingerprint = fingerprint;
    this.deadlineAtMillis = arrivedAtMillis + choice.timeoutMillis();
    long leftMillis = Math.max(0, deadlineAtMillis - context.clock().nowMillis());
    this.deadlineTimer =
        context.loop().schedule(this::onDeadline, leftMillis, TimeUnit.MILLISECONDS);
  }

  void start() {
    if (!request.lastEventId().isEmpty()) {
      Logger.info(
          "request {} on route {} takes up the stream of request \"{}\" after event {}",
          request.id(),
          route.name(),
          request.resumedRequestId(),
          request.lastEventId());
    }
    requestPlacement(false);
  }

  // ---- placement --------------------------------------------------------------------------------

  private void requestPlacement(boolean repeat) {
    long nowMillis = context.clock().nowMillis();
    EngineCapabilities engine = service.engine();
    boolean counted = placementId > 0;
    placementId = context.nextPlacementId();
    PlacementRequest.Builder builder =
        PlacementRequest.newBuilder()
            .setId(placementId)
            .setService(service.name())
            .setRoute(route.name())
            .setWorkspace(workspace)
            .setPriority(priority)
            .setPromptTokens(request.promptTokens() + outputTokens())
            .setMaxOutputTokens(Math.max(0, request.maxOutputTokens() - outputTokens()))
            .setHintedOutputTokens(Math.max(0, request.hintedOutputTokens() - outputTokens()))
            .setTargetLeftMillis(progress.arrivedAtMillis() + route.targetMillis() - nowMillis)
            .setDeadlineLeftMillis(deadlineAtMillis - nowMillis)
            .addAllExcluded(excludedBackends)
            .setRepeat(repeat)
            .setCounted(counted)
            .setDataCentre(context.dataCentre())
            .setEngine(engine != null)
            .setIrreplaceable(engine != null && !route.isRepeatable())
            .setFingerprint(fingerprint);
    if (route.kind() == Repeatability.STREAM) {
      builder.setGapTargetMillis((int) Math.clamp(route.gapTargetMillis(), 0L, Integer.MAX_VALUE));
    }
    addStream(builder);
    RegionBinding.bind(builder, homeRegions, context.regions());
    if (engine != null) {
      builder.addAllParts(request.parts());
    }
    PlacementRequest newPlacement = builder.build();
    pendingPlacement = newPlacement;
    placed = false;
    backend = "";
    context.placer().requestPlacement(newPlacement, this);
  }

  /** Adds which stream a request begins or takes up, and the version that has to continue it. */
  private void addStream(PlacementRequest.Builder builder) {
    String version = streamVersion;
    if (version != null) {
      builder.setVersionBound(true).setSoftwareVersion(version);
    }
    if (route.kind() != Repeatability.STREAM || !route.isRepeatable()) {
      return;
    }
    builder
        .setStream(RequestFingerprint.ofStream(workspace, request.id()))
        .setResumes(!request.lastEventId().isEmpty())
        .setSeveralServices(route.hasSeveralServices());
    if (!request.resumedRequestId().isEmpty()) {
      builder.setResumedStream(RequestFingerprint.ofStream(workspace, request.resumedRequestId()));
    }
  }

  @Override
  public @Nullable String streamVersion() {
    return streamVersion;
  }

  @Override
  public PlacementRequest placementRequest() {
    return pendingPlacement == null ? PlacementRequest.getDefaultInstance() : pendingPlacement;
  }

  @Override
  public String backend() {
    return backend;
  }

  @Override
  public String backup() {
    return backup;
  }

  @Override
  public Migration migration() {
    return migration.migration();
  }

  @Override
  public int outputTokens() {
    return progress.outputTokens();
  }

  @Override
  public void onPlaced(String backendId, int newUrgency, String backupId) {
    BackendRecord target = context.backend(backendId);
    long leftMillis = deadlineAtMillis - context.clock().nowMillis();
    if (finished || leftMillis < MIN_ATTEMPT_MILLIS) {
      context.placer().reportEnd(placementId, DispatchOutcome.DISPATCH_OUTCOME_CANCELLED, 0);
      return;
    }
    long blockedMillis = context.placer().blockedMillis(placementRequest());
    if (blockedMillis > 0) {
      context.placer().reportEnd(placementId, DispatchOutcome.DISPATCH_OUTCOME_CANCELLED, 0);
      onRejected(blockedMillis, RejectionReason.CRASHES_BACKENDS.name());
      return;
    }
    boolean outOfRegions = target != null && !RegionBinding.allows(target, placementRequest());
    if (outOfRegions || context.placer().isRefusing(backendId)) {
      // Decided before the scheduler heard of it, or by one with older software.
      context.placer().reportEnd(placementId, DispatchOutcome.DISPATCH_OUTCOME_CANCELLED, 0);
      excludedBackends.add(backendId);
      requestPlacement(history.nextIsRepeat());
      return;
    }
    placed = true;
    backend = backendId;
    if (placementRequest().getRepeat()) {
      context.recordRetry(service.name(), true);
    }
    urgency = newUrgency;
    backup = backupId;
    if (target == null) {
      history.recordStart();
      handleResult(
          new AttemptResult.Unreachable("backend server " + backendId + " is unavailable"));
      return;
    }
    Logger.info(
        "request {} on route {}: attempt {} at backend server {} with software version \"{}\""
            + " (backup copy at {}), {} ms to deadline",
        request.id(),
        route.name(),
        history.attempts() + 1,
        backendId,
        target.getSoftwareVersion(),
        backupId.isEmpty() ? "none" : backupId,
        leftMillis);
    send(target, "");
  }

  private void send(BackendRecord target, String stateReference) {
    history.recordStart();
    if (!RegionBinding.allows(target, placementRequest())) {
      handleResult(
          new AttemptResult.Unreachable(
              "data centre "
                  + target.getDataCentre()
                  + " of backend server "
                  + target.getId()
                  + " is in none of the regions of the request",
              false));
      return;
    }
    if (streamVersion != null
        && !ServiceVersion.isSame(streamVersion, target.getSoftwareVersion())) {
      handleResult(
          new AttemptResult.Interrupted(
              "software version \""
                  + target.getSoftwareVersion()
                  + "\" of backend server "
                  + target.getId()
                  + " cannot continue a stream of version \""
                  + streamVersion
                  + "\""));
      return;
    }
    BackendRecord backupRecord = context.backend(backup);
    Attempt newAttempt = new Attempt(target, caller.responseMemory(), this);
    attempt = newAttempt;
    history.recordTransmission(newAttempt::wasSent);
    BackendRequest backendRequest =
        new BackendRequest(
            request,
            target,
            workspace,
            Math.max(1, deadlineAtMillis - context.clock().nowMillis()),
            service.engine() == null ? -1 : urgency,
            progress.lastEventId(),
            stateReference,
            backupRecord != null && RegionBinding.allows(backupRecord, placementRequest())
                ? backupRecord.getAddress()
                : "");
    newAttempt.start(
        context.pool(),
        context.protocol().backendRequest(backendRequest),
        request.id(),
        route.isRepeatable() ? Long.MAX_VALUE : UNREPEATABLE_MAX_IDLE_MILLIS,
        () -> !context.placer().isEvacuated(target));
    progress.recordSent(context.clock().nowMillis());
    watchResponse(newAttempt);
  }

  /**
   * Detects a backend server that fails without closing its connection: by the missing response to
   * an attempt that may be repeated, by the pause of a stream that has a backup copy.
   */
  private void watchResponse(Attempt watched) {
    ResponseWatch watch = new ResponseWatch(context, new WatchedRequest(), watched);
    if (route.isRepeatable() && history.executions() + 1 < route.attempts()) {
      watch.awaitResponse(route.targetMillis());
    } else if (migration.mayHaveBackup(backup)) {
      watch.awaitEvents();
    }
  }

  /** What the watch over an attempt needs to know of the request. */
  private final class WatchedRequest implements ResponseWatch.Request {
    @Override
    public boolean isCurrent(Attempt watched) {
      return !finished && watched == attempt;
    }

    @Override
    public boolean isMigrating() {
      return migration.isMigrating();
    }

    @Override
    public void onStalled(Attempt watched) {
      migration.resumeStalled(watched, backup);
    }

    @Override
    public boolean hasStreamStarted() {
      return streamStarted;
    }

    @Override
    public boolean isCallerReading() {
      return caller.isWritable();
    }

    @Override
    public long pauseMillis(long nowMillis) {
      return progress.pauseMillis(nowMillis);
    }
  }

  @Override
  public void onRejected(long retryAfterMillis, String reason) {
    if (finished) {
      return;
    }
    if (attempt != null) {
      Logger.warn(
          "request {}: rejection (reason {}) ignored, since attempt {} runs",
          request.id(),
          reason,
          history.attempts());
      return;
    }
    if (reason.equals(RejectionReason.RETRIES_USED_UP.name())) {
      context.recordRetry(service.name(), false);
    }
    if (lastFailedResponse != null) {
      // An earlier failure response of a backend server tells the caller more than the rejection of
      // the retry.
      deliver(lastFailedResponse);
      return;
    }
    if (history.mayHaveRun()) {
      fail(
          ResultCode.BACKEND_FAILED,
          "the request failed after it may have run, and its retry was rejected (reason "
              + reason
              + ")",
          0);
      return;
    }
    boolean outOfRegions = reason.equals(RejectionReason.NO_BACKEND_IN_REGIONS.name());
    fail(
        outOfRegions ? ResultCode.NO_BACKEND_IN_REGIONS : ResultCode.SHED,
        "the request was rejected before it ran (reason "
            + reason
            + (retryAfterMillis > 0 ? "); retry later" : "); the same request cannot be served"),
        retryAfterMillis);
  }

  // ---- responses --------------------------------------------------------------------------------

  @Override
  public void onHead(Attempt source, ResponseHead head) {
    context.pool().recordReached();
    if (head.isFromExpectedBackend()) {
      context.endConfirmation().recordResponse(source.backend().getId(), source.startedAtMillis());
      context
          .placer()
          .reportStatements(
              placementId, source.backend().getId(), head.statements(), source.startedAtMillis());
    }
  }

  @Override
  public void onEvents(Attempt source, HttpResponse response, List<EventSplitter.Event> newEvents) {
    if (finished || source != attempt) {
      return;
    }
    if (newEvents.stream().anyMatch(EventSplitter.Event::hasOutput)) {
      recordReply();
    }
    if (!streamStarted) {
      streamStarted = true;
      streamVersion = source.backend().getSoftwareVersion();
      caller.startStream(response);
    }
    boolean first = outputTokens() == 0;
    for (EventSplitter.Event event : newEvents) {
      if (progress.recordIfNew(event)) {
        caller.writeStream(event.bytes());
      }
    }
    if (first && outputTokens() > 0) {
      context.placer().reportProgress(placementId, outputTokens());
    }
    source.setReading(caller.isWritable());
  }

  private void recordReply() {
    boolean first = !progress.hasReply();
    progress.recordReply(context.clock().nowMillis());
    if (first) {
      context.recordFirstReply(route, progress.firstReplyMillis());
    }
  }

  @Override
  public void onCallerWritabilityChanged(boolean writable) {
    if (attempt != null) {
      attempt.setReading(writable);
    }
  }

  @Override
  public void onEnded(Attempt source, AttemptResult result) {
    if (finished || source != attempt) {
      return;
    }
    if (result instanceof AttemptResult.Completed completed
        && completed.response().endedWithConnection()
        && !migration.isStopping()) {
      confirmEnd(source, completed);
    } else if (result instanceof AttemptResult.Interrupted interrupted
        && interrupted.connectionLost()
        && !migration.isMigrating()) {
      // The scheduler hears of a crash while it counts the request there.
      context.crashProbe().check(source.backend(), crashed -> handleEnd(source, interrupted));
    } else {
      handleEnd(source, result);
    }
  }

  private void confirmEnd(Attempt source, AttemptResult.Completed completed) {
    context
        .endConfirmation()
        .confirm(
            source.backend(), service, evidence -> handleEnd(source, evidence.resultOf(completed)));
  }

  private void handleEnd(Attempt source, AttemptResult result) {
    if (finished || source != attempt) {
      return;
    }
    AttemptResult finalResult = migration.resultAfter(source, result, backup);
    if (finalResult != null) {
      handleResult(finalResult);
    }
  }

  private void handleResult(AttemptResult received) {
    AttemptResult result = StreamContinuation.within(streamStarted, received);
    history.recordResult(result);
    RetryDecision decision = RetryRules.decide(result, route, history, streamStarted);
    reportEnd(result, decision);
    attempt = null;
    switch (decision) {
      case RetryDecision.Deliver ignored -> {
        if (result instanceof AttemptResult.Completed completed) {
          deliver(completed);
        }
      }
      case RetryDecision.Retry ignored -> {
        if (result instanceof AttemptResult.Completed completed) {
          lastFailedResponse = completed;
        }
        excludedBackends.add(backend);
        if (context.forwarding().reach().isPartitioned() && forwarded()) {
          return;
        }
        if (isUnacceptable()) {
          fail(ResultCode.HOST_DRAINING, result.description(), DrainRules.RETRY_AFTER_MILLIS);
        } else {
          requestPlacement(history.nextIsRepeat());
        }
      }
      case RetryDecision.Fail failure ->
          fail(failure.code(), result.description(), RETRY_AFTER_MILLIS);
    }
  }

  /** Has another gateway serve the request if no backend server was reached for it. */
  private boolean forwarded() {
    boolean isForwarded =
        history.reachedNoBackend() && caller.forward(request, homeRegions, deadlineAtMillis);
    if (isForwarded) {
      finish();
    }
    return isForwarded;
  }

  private void reportEnd(AttemptResult result, RetryDecision decision) {
    if (!placed) {
      return;
    }
    placed = false;
    context.placer().reportEnd(placementId, result.outcome(), outputTokens());
    if (!(result instanceof AttemptResult.Completed) || decision instanceof RetryDecision.Retry) {
      Logger.info(
          "request {} on route {}: attempt {} at backend server {} ended: {}; next step: {};"
              + " fingerprint {}, prompt parts {}",
          request.id(),
          route.name(),
          history.attempts(),
          backend,
          result.description(),
          decision.getClass().getSimpleName(),
          Long.toHexString(fingerprint),
          request.parts().stream().map(PromptPart::getId).toList());
    }
  }

  private void deliver(AttemptResult.Completed completed) {
    if (!streamStarted) {
      recordReply();
      finish();
      caller.respond(completed.response());
      return;
    }
    if (completed.response().isStream()) {
      finish();
      caller.endStream(completed.response());
    } else {
      fail(ResultCode.BACKEND_FAILED, "the stream ended incomplete: " + completed.description(), 0);
    }
  }

  private void fail(ResultCode intended, String message, long retryAfterMillis) {
    ResultCode code = history.withoutFalsePromise(intended);
    if (forwarded()) {
      return;
    }
    finish();
    context.recordFailure(route, code);
    Logger.info(
        "request {} on route {} failed with {} after {} attempts and {} ms: {}",
        request.id(),
        route.name(),
        code,
        history.attempts(),
        context.clock().nowMillis() - progress.arrivedAtMillis(),
        message);
    if (streamStarted) {
      caller.abort();
    } else {
      caller.fail(Failure.retryLater(code, message, code == intended ? retryAfterMillis : 0));
    }
  }

  private void onDeadline() {
    if (finished) {
      return;
    }
    boolean mayHaveRun = history.mayHaveRun();
    cancelAttempt();
    fail(
        mayHaveRun ? ResultCode.DEADLINE_PASSED : ResultCode.SHED,
        mayHaveRun
            ? "the deadline was exceeded after the request may have started to run"
            : "the deadline was exceeded before the request ran; retry later",
        mayHaveRun ? 0 : RETRY_AFTER_MILLIS);
  }

  @Override
  public void onCallerDisconnected() {
    if (!finished) {
      cancelAttempt();
      finish();
    }
  }

  private void cancelAttempt() {
    if (attempt != null) {
      attempt.cancel();
      attempt = null;
    }
    context
        .placer()
        .reportEnd(placementId, DispatchOutcome.DISPATCH_OUTCOME_CANCELLED, outputTokens());
    placed = false;
  }

  private void finish() {
    if (!finished) {
      finished = true;
      deadlineTimer.cancel(false);
      context.requestClosed(this);
      if (progress.isLate()) {
        Logger.info(
            "request {} on route {} missed a target: {}",
            request.id(),
            route.name(),
            progress.timingSummary());
      }
    }
  }

  // ---- migration --------------------------------------------------------------------------------

  @Override
  public void onMigrate(String targetId, String newBackup) {
    Attempt running = attempt;
    BackendRecord target = context.backend(targetId);
    if (finished
        || !placed
        || !streamStarted
        || running == null
        || running.hasEnded()
        || target == null
        || context.placer().isEvacuated(target)
        || migration.isMigrating()) {
      if (!finished && placed) {
        onMigrationFailed();
      }
      return;
    }
    migration.migrate(running, target, newBackup, backup);
  }

  @Override
  public boolean isFinished() {
    return finished;
  }

  @Override
  public boolean isBlocked() {
    return context.placer().blockedMillis(placementRequest()) > 0;
  }

  @Override
  public void onMigrationFailed() {
    context.placer().reportEnd(placementId, DispatchOutcome.DISPATCH_OUTCOME_MOVE_FAILED, 0);
  }

  @Override
  public void onMigrated(BackendRecord target, String newBackup) {
    backup = newBackup;
    progress.recordMigration();
    if (!target.getId().equals(backend)) {
      backend = target.getId();
      context
          .placer()
          .reportEnd(placementId, DispatchOutcome.DISPATCH_OUTCOME_MOVED, outputTokens());
    }
  }

  @Override
  public void resumeAt(BackendRecord target, String stateReference) {
    send(target, stateReference);
  }

  @Override
  public void onStopped(long retryAfterMillis, String reason) {
    if (finished) {
      return;
    }
    boolean mayHaveRun = history.mayHaveRun();
    cancelAttempt();
    fail(
        mayHaveRun ? ResultCode.BACKEND_FAILED : ResultCode.SHED,
        mayHaveRun
            ? "the request was stopped after it may have started to run (reason " + reason + ")"
            : "the request was rejected before it ran (reason " + reason + "); retry later",
        mayHaveRun ? 0 : retryAfterMillis);
  }

  /** Returns whether the request has not run and a draining gateway would not accept it now. */
  boolean isUnacceptable() {
    return !history.mayHaveRun()
        && !context.mayAccept(deadlineAtMillis - context.clock().nowMillis());
  }

  @Override
  public void onFinishedAtSource(Attempt source, AttemptResult.Completed result) {
    confirmEnd(source, result);
  }

  @Override
  public void onStateLost(String reason) {
    handleResult(new AttemptResult.Interrupted(reason));
  }

  /** Returns whether the request is a stream whose response has started. */
  boolean isStreaming() {
    return streamStarted && route.kind() == Repeatability.STREAM;
  }

  /** Returns the id under which the scheduler knows the request. */
  long placementId() {
    return placementId;
  }
}
