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
import org.curranthaven.internal.catalog.Repeatability;
import org.curranthaven.internal.catalog.Route;
import org.curranthaven.internal.catalog.ServiceSpec;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * One call from its arrival to its final answer: has it placed, sends it, repeats it where its
 * route allows that, and relays the answer. Used on the event loop only.
 */
final class RoutedRequest
    implements RequestPlacer.PlacementListener, Attempt.Listener, MigrationCoordinator.Owner {
  /** Time left below which a call is not sent any more. */
  private static final long MIN_ATTEMPT_MILLIS = 5;

  private static final long RETRY_AFTER_MILLIS = 500;

  /** Idle time of a connection above which it is not used for a call that may not run twice. */
  private static final long UNREPEATABLE_MAX_IDLE_MILLIS = 250;

  /** Shortest silence after which a call is given up at a backend server. */
  private static final long MIN_RESPONSE_TIMEOUT_MILLIS = 600;

  /** Pause of a stream after which its engine is taken for lost: many times an ordinary one. */
  private static final long STREAM_STALL_TIMEOUT_MILLIS = 1_500;

  private static final long MIN_CHECK_INTERVAL_MILLIS = 100;
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
  private final MigrationCoordinator migration;
  private final Set<String> excludedBackends = new LinkedHashSet<>();
  private long placementId;
  private @Nullable PlacementRequest pendingPlacement;
  private @Nullable Attempt attempt;
  private AttemptResult.@Nullable Completed lastFailedResponse;
  private String backend = "";
  private String backup = "";
  private int urgency;
  private int executionCount;
  private int attemptCount;
  private boolean streamStarted;
  private boolean placed;
  private boolean finished;

  RoutedRequest(
      RelayContext context,
      CallerConnection caller,
      InboundRequest call,
      Route route,
      ServiceSpec service,
      String workspace,
      long arrivedAtMillis,
      long allowedMillis,
      int priority) {
    this.context = context;
    this.caller = caller;
    this.request = call;
    this.route = route;
    this.service = service;
    this.workspace = workspace;
    this.priority = priority;
    EngineCapabilities engine = service.engine();
    int tokensPerEvent = engine == null ? DEFAULT_TOKENS_PER_EVENT : engine.tokensPerEvent();
    this.migration = new MigrationCoordinator(context, call, route, engine, this);
    this.progress = new RequestProgress(route, tokensPerEvent, call.lastEventId(), arrivedAtMillis);
    this.deadlineAtMillis = arrivedAtMillis + allowedMillis;
    long left = Math.max(0, deadlineAtMillis - context.clock().nowMillis());
    this.deadlineTimer = context.loop().schedule(this::onDeadline, left, TimeUnit.MILLISECONDS);
  }

  void start() {
    requestPlacement(false);
  }

  // ---- placing ----------------------------------------------------------------------------------

  private void requestPlacement(boolean repeat) {
    long nowMillis = context.clock().nowMillis();
    EngineCapabilities engine = service.engine();
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
            .setDataCentre(context.dataCentre())
            .setEngine(engine != null)
            .setIrreplaceable(engine != null && !route.isRepeatable());
    if (engine != null) {
      builder.addAllParts(request.parts());
    }
    PlacementRequest built = builder.build();
    pendingPlacement = built;
    placed = false;
    backend = "";
    context.placer().requestPlacement(built, this);
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
  public int outputTokens() {
    return progress.outputTokens();
  }

  @Override
  public void onPlaced(String backendId, int newUrgency, String backupId) {
    BackendRecord record = context.backend(backendId);
    long left = deadlineAtMillis - context.clock().nowMillis();
    if (finished || left < MIN_ATTEMPT_MILLIS) {
      context.placer().reportEnd(placementId, DispatchOutcome.DISPATCH_OUTCOME_CANCELLED, 0);
      return;
    }
    placed = true;
    backend = backendId;
    urgency = newUrgency;
    backup = backupId;
    if (record == null) {
      attemptCount++;
      handleResult(new AttemptResult.Unreachable("the backend server is gone"));
      return;
    }
    Logger.info(
        "call {} of {} goes to {}, try {}, copy at {}",
        request.id(),
        route.name(),
        backendId,
        attemptCount + 1,
        backupId.isEmpty() ? "none" : backupId);
    send(record, "");
  }

  private void send(BackendRecord record, String takeOverFrom) {
    attemptCount++;
    BackendRecord keeper = context.backend(backup);
    Attempt next = new Attempt(record, this);
    attempt = next;
    BackendRequest backendCall =
        new BackendRequest(
            request,
            record,
            workspace,
            Math.max(1, deadlineAtMillis - context.clock().nowMillis()),
            service.engine() == null ? -1 : urgency,
            progress.lastEventId(),
            takeOverFrom,
            keeper != null ? keeper.getAddress() : "");
    next.start(
        context.pool(),
        context.protocol().backendRequest(backendCall),
        request.id(),
        route.isRepeatable() ? Long.MAX_VALUE : UNREPEATABLE_MAX_IDLE_MILLIS);
    progress.recordSent(context.clock().nowMillis());
    scheduleResponseCheck(next);
  }

  /**
   * Watches a backend server that may be gone without a sign: a call that may run again is given up
   * there once its target is missed; a stream of which a copy is kept, after a long pause.
   */
  private void scheduleResponseCheck(Attempt watched) {
    if (route.isRepeatable() && executionCount + 1 < route.attempts()) {
      long wait = Math.max(MIN_RESPONSE_TIMEOUT_MILLIS, route.targetMillis());
      context.loop().schedule(() -> abandonIfUnresponsive(watched), wait, TimeUnit.MILLISECONDS);
    } else if (migration.mayHaveBackup(backup)) {
      context
          .loop()
          .schedule(
              () -> abandonIfStalled(watched), STREAM_STALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void abandonIfUnresponsive(Attempt watched) {
    if (!finished && watched == attempt && !watched.hasReceivedResponse()) {
      watched.abandonUnresponsive();
    }
  }

  private void abandonIfStalled(Attempt watched) {
    if (finished || watched != attempt || migration.isMigrating()) {
      return;
    }
    long pauseMillis = progress.pauseMillis(context.clock().nowMillis());
    if (streamStarted && caller.isWritable() && pauseMillis >= STREAM_STALL_TIMEOUT_MILLIS) {
      watched.abandonUnresponsive();
      return;
    }
    long next =
        streamStarted ? STREAM_STALL_TIMEOUT_MILLIS - pauseMillis : STREAM_STALL_TIMEOUT_MILLIS;
    context
        .loop()
        .schedule(
            () -> abandonIfStalled(watched),
            Math.max(MIN_CHECK_INTERVAL_MILLIS, next),
            TimeUnit.MILLISECONDS);
  }

  @Override
  public void onRejected(long retryAfterMillis, String reason) {
    if (finished) {
      return;
    }
    if (lastFailedResponse != null) {
      // A backend server's own failure says more than the lack of another one.
      deliver(lastFailedResponse);
      return;
    }
    if (executionCount > 0) {
      fail(ResultCode.BACKEND_FAILED, "it may not be sent again (" + reason + ")", 0);
      return;
    }
    fail(ResultCode.SHED, "the call was turned away: " + reason, retryAfterMillis);
  }

  // ---- answers ----------------------------------------------------------------------------------

  @Override
  public void onEvents(Attempt from, HttpResponse response, List<EventSplitter.Event> newEvents) {
    if (finished || from != attempt) {
      return;
    }
    progress.recordReply(context.clock().nowMillis());
    if (!streamStarted) {
      streamStarted = true;
      caller.startStream(response);
      context.recordFirstReply(route, progress.firstReplyMillis());
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
    from.setReading(caller.isWritable());
  }

  /** Called when the caller's connection takes more bytes, or none for the moment. */
  void onCallerWritabilityChanged(boolean writable) {
    if (attempt != null) {
      attempt.setReading(writable);
    }
  }

  @Override
  public void onEnded(Attempt from, AttemptResult result) {
    if (finished || from != attempt) {
      return;
    }
    if (!migration.continuesAfter(from, result, backup)) {
      handleResult(result);
    }
  }

  private void handleResult(AttemptResult result) {
    if (result instanceof AttemptResult.Completed || result instanceof AttemptResult.Interrupted) {
      executionCount++;
    }
    RetryDecision step =
        RetryRules.decide(result, route, executionCount, attemptCount, streamStarted);
    reportEnd(result, step);
    attempt = null;
    switch (step) {
      case RetryDecision.Deliver ignored -> {
        if (result instanceof AttemptResult.Completed answer) {
          deliver(answer);
        }
      }
      case RetryDecision.Retry ignored -> {
        if (result instanceof AttemptResult.Completed answer) {
          lastFailedResponse = answer;
        }
        excludedBackends.add(backend);
        // A backend server that was never reached has not been asked.
        requestPlacement(!(result instanceof AttemptResult.Unreachable) || executionCount > 0);
      }
      case RetryDecision.Fail failure -> fail(failure.code(), describe(result), RETRY_AFTER_MILLIS);
    }
  }

  private void reportEnd(AttemptResult result, RetryDecision step) {
    if (!placed) {
      return;
    }
    placed = false;
    DispatchOutcome outcome =
        switch (result) {
          case AttemptResult.Unreachable ignored -> DispatchOutcome.DISPATCH_OUTCOME_UNREACHABLE;
          case AttemptResult.NotRun notRun ->
              notRun.head().misdirected()
                  ? DispatchOutcome.DISPATCH_OUTCOME_UNREACHABLE
                  : DispatchOutcome.DISPATCH_OUTCOME_REJECTED;
          case AttemptResult.Interrupted ignored -> DispatchOutcome.DISPATCH_OUTCOME_FAILED;
          case AttemptResult.Completed answer ->
              answer.head().status() >= 500
                  ? DispatchOutcome.DISPATCH_OUTCOME_FAILED
                  : DispatchOutcome.DISPATCH_OUTCOME_ANSWERED;
        };
    context.placer().reportEnd(placementId, outcome, outputTokens());
    if (!(result instanceof AttemptResult.Completed) || step instanceof RetryDecision.Retry) {
      Logger.info(
          "call {} of {} at {}: {}; next: {}",
          request.id(),
          route.name(),
          backend,
          describe(result),
          step.getClass().getSimpleName());
    }
  }

  private static String describe(AttemptResult result) {
    return switch (result) {
      case AttemptResult.Unreachable unreachable -> unreachable.reason();
      case AttemptResult.Interrupted broken -> broken.reason();
      case AttemptResult.NotRun notRun ->
          "the backend server turned it away with status " + notRun.head().status();
      case AttemptResult.Completed answer -> "status " + answer.head().status();
    };
  }

  private void deliver(AttemptResult.Completed answer) {
    if (!streamStarted) {
      progress.recordReply(context.clock().nowMillis());
      finish();
      context.recordFirstReply(route, progress.firstReplyMillis());
      caller.respond(answer.response(), answer.body());
      return;
    }
    if (answer.head().isSuccess()) {
      finish();
      if (answer.body().length > 0) {
        caller.writeStream(answer.body());
      }
      caller.endStream();
    } else {
      fail(ResultCode.BACKEND_FAILED, "the stream could not go on", 0);
    }
  }

  private void fail(ResultCode code, String message, long retryAfterMillis) {
    finish();
    context.recordFailure(route, code);
    Logger.info("call {} of {} failed with {}: {}", request.id(), route.name(), code, message);
    if (streamStarted) {
      caller.abort();
    } else {
      caller.fail(Failure.retryLater(code, message, retryAfterMillis));
    }
  }

  private void onDeadline() {
    if (finished) {
      return;
    }
    boolean mayHaveRun = executionCount > 0 || (attempt != null && attempt.wasSent());
    cancelAttempt();
    fail(
        mayHaveRun ? ResultCode.DEADLINE_PASSED : ResultCode.SHED,
        "its time was up",
        mayHaveRun ? 0 : RETRY_AFTER_MILLIS);
  }

  /** Called when the caller has gone. */
  void onCallerDisconnected() {
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
            "call {} of {} was late: {}", request.id(), route.name(), progress.timingSummary());
      }
    }
  }

  // ---- moving a running request -----------------------------------------------------------------

  @Override
  public void onMigrate(String target, String newBackup) {
    Attempt running = attempt;
    BackendRecord record = context.backend(target);
    if (finished
        || !placed
        || !streamStarted
        || running == null
        || record == null
        || migration.isMigrating()) {
      if (!finished && placed) {
        onMigrationFailed();
      }
      return;
    }
    migration.migrate(running, record, newBackup, backup);
  }

  @Override
  public boolean isFinished() {
    return finished;
  }

  @Override
  public void onMigrationFailed() {
    context.placer().reportEnd(placementId, DispatchOutcome.DISPATCH_OUTCOME_MOVE_FAILED, 0);
  }

  @Override
  public void onMigrated(BackendRecord to, String newBackup) {
    backup = newBackup;
    progress.recordMigration();
    if (!to.getId().equals(backend)) {
      backend = to.getId();
      context
          .placer()
          .reportEnd(placementId, DispatchOutcome.DISPATCH_OUTCOME_MOVED, outputTokens());
    }
  }

  @Override
  public void resumeAt(BackendRecord to, String copyName) {
    send(to, copyName);
  }

  @Override
  public void onStateLost(String reason) {
    handleResult(new AttemptResult.Interrupted(reason));
  }

  /** Returns whether the call is a stream that has begun. */
  boolean isStreaming() {
    return streamStarted && route.kind() == Repeatability.STREAM;
  }

  /** Returns the number by which the scheduler knows the call. */
  long placementId() {
    return placementId;
  }
}
