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
    implements RequestPlacer.PlacementListener, Attempt.Owner, MigrationCoordinator.Owner {
  /** Time left below which a call is not sent any more. */
  private static final long MIN_SEND_MILLIS = 5;

  private static final long RETRY_SOON_MILLIS = 500;

  /** Idle time of a connection above which it is not used for a call that may not run twice. */
  private static final long UNREPEATABLE_IDLE_MILLIS = 250;

  /** Shortest silence after which a call is given up at a backend server. */
  private static final long MIN_SILENCE_MILLIS = 600;

  /** Pause of a stream after which its engine is taken for lost: many times an ordinary one. */
  private static final long STREAM_SILENCE_MILLIS = 1_500;

  private static final long MIN_CHECK_MILLIS = 100;
  private static final int DEFAULT_TOKENS_PER_EVENT = 1;

  private final RelayContext context;
  private final CallerConnection caller;
  private final InboundRequest call;
  private final Route route;
  private final ServiceSpec service;
  private final String workspace;
  private final int priority;
  private final long endsAtMillis;
  private final ScheduledFuture<?> timeout;
  private final RequestProgress progress;
  private final MigrationCoordinator moves;
  private final Set<String> excluded = new LinkedHashSet<>();
  private long placementId;
  private @Nullable PlacementRequest ask;
  private @Nullable Attempt attempt;
  private AttemptResult.@Nullable Answered lastAnswer;
  private String backend = "";
  private String backup = "";
  private int urgency;
  private int runs;
  private int sends;
  private boolean started;
  private boolean placed;
  private boolean done;

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
    this.call = call;
    this.route = route;
    this.service = service;
    this.workspace = workspace;
    this.priority = priority;
    EngineCapabilities engine = service.engine();
    int tokensPerEvent = engine == null ? DEFAULT_TOKENS_PER_EVENT : engine.tokensPerEvent();
    this.moves = new MigrationCoordinator(context, call, route, engine, this);
    this.progress = new RequestProgress(route, tokensPerEvent, call.lastEventId(), arrivedAtMillis);
    this.endsAtMillis = arrivedAtMillis + allowedMillis;
    long left = Math.max(0, endsAtMillis - context.clock().nowMillis());
    this.timeout = context.loop().schedule(this::timeUp, left, TimeUnit.MILLISECONDS);
  }

  void start() {
    askForPlace(false);
  }

  // ---- placing ----------------------------------------------------------------------------------

  private void askForPlace(boolean repeat) {
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
            .setPromptTokens(call.promptTokens() + outputTokens())
            .setMaxOutputTokens(Math.max(0, call.maxOutputTokens() - outputTokens()))
            .setHintedOutputTokens(Math.max(0, call.hintedOutputTokens() - outputTokens()))
            .setTargetLeftMillis(progress.arrivedAtMillis() + route.targetMillis() - nowMillis)
            .setDeadlineLeftMillis(endsAtMillis - nowMillis)
            .addAllExcluded(excluded)
            .setRepeat(repeat)
            .setDataCentre(context.dataCentre())
            .setEngine(engine != null)
            .setIrreplaceable(engine != null && !route.isRepeatable());
    if (engine != null) {
      builder.addAllParts(call.parts());
    }
    PlacementRequest built = builder.build();
    ask = built;
    placed = false;
    backend = "";
    context.placer().requestPlacement(built, this);
  }

  @Override
  public PlacementRequest placementRequest() {
    return ask == null ? PlacementRequest.getDefaultInstance() : ask;
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
    long left = endsAtMillis - context.clock().nowMillis();
    if (done || left < MIN_SEND_MILLIS) {
      context.placer().reportEnd(placementId, DispatchOutcome.DISPATCH_OUTCOME_CANCELLED, 0);
      return;
    }
    placed = true;
    backend = backendId;
    urgency = newUrgency;
    backup = backupId;
    if (record == null) {
      sends++;
      afterAttempt(new AttemptResult.Unreachable("the backend server is gone"));
      return;
    }
    Logger.info(
        "call {} of {} goes to {}, try {}, copy at {}",
        call.id(),
        route.name(),
        backendId,
        sends + 1,
        backupId.isEmpty() ? "none" : backupId);
    send(record, "");
  }

  private void send(BackendRecord record, String takeOverFrom) {
    sends++;
    BackendRecord keeper = context.backend(backup);
    Attempt next = new Attempt(record, this);
    attempt = next;
    BackendRequest backendCall =
        new BackendRequest(
            call,
            record,
            workspace,
            Math.max(1, endsAtMillis - context.clock().nowMillis()),
            service.engine() == null ? -1 : urgency,
            progress.lastEventId(),
            takeOverFrom,
            keeper != null ? keeper.getAddress() : "");
    next.start(
        context.pool(),
        context.protocol().backendRequest(backendCall),
        call.id(),
        route.isRepeatable() ? Long.MAX_VALUE : UNREPEATABLE_IDLE_MILLIS);
    progress.sent(context.clock().nowMillis());
    watchForSilence(next);
  }

  /**
   * Watches a backend server that may be gone without a sign: a call that may run again is given up
   * there once its target is missed; a stream of which a copy is kept, after a long pause.
   */
  private void watchForSilence(Attempt watched) {
    if (route.isRepeatable() && runs + 1 < route.attempts()) {
      long wait = Math.max(MIN_SILENCE_MILLIS, route.targetMillis());
      context.loop().schedule(() -> giveUpIfUnheard(watched), wait, TimeUnit.MILLISECONDS);
    } else if (moves.mayRescue(backup)) {
      context
          .loop()
          .schedule(() -> giveUpIfPaused(watched), STREAM_SILENCE_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void giveUpIfUnheard(Attempt watched) {
    if (!done && watched == attempt && !watched.isHeard()) {
      watched.giveUpSilent();
    }
  }

  private void giveUpIfPaused(Attempt watched) {
    if (done || watched != attempt || moves.isMoving()) {
      return;
    }
    long pauseMillis = progress.pauseMillis(context.clock().nowMillis());
    if (started && caller.isWritable() && pauseMillis >= STREAM_SILENCE_MILLIS) {
      watched.giveUpSilent();
      return;
    }
    long next = started ? STREAM_SILENCE_MILLIS - pauseMillis : STREAM_SILENCE_MILLIS;
    context
        .loop()
        .schedule(
            () -> giveUpIfPaused(watched), Math.max(MIN_CHECK_MILLIS, next), TimeUnit.MILLISECONDS);
  }

  @Override
  public void onRejected(long retryAfterMillis, String reason) {
    if (done) {
      return;
    }
    if (lastAnswer != null) {
      // A backend server's own failure says more than the lack of another one.
      deliver(lastAnswer);
      return;
    }
    if (runs > 0) {
      fail(ResultCode.BACKEND_FAILED, "it may not be sent again (" + reason + ")", 0);
      return;
    }
    fail(ResultCode.SHED, "the call was turned away: " + reason, retryAfterMillis);
  }

  // ---- answers ----------------------------------------------------------------------------------

  @Override
  public void events(Attempt from, HttpResponse response, List<EventSplitter.Event> newEvents) {
    if (done || from != attempt) {
      return;
    }
    progress.replied(context.clock().nowMillis());
    if (!started) {
      started = true;
      caller.startStream(response);
      context.measured(route, progress.firstReplyMillis());
    }
    boolean first = outputTokens() == 0;
    for (EventSplitter.Event event : newEvents) {
      if (progress.isNew(event)) {
        caller.writeStream(event.bytes());
      }
    }
    if (first && outputTokens() > 0) {
      context.placer().reportProgress(placementId, outputTokens());
    }
    from.setReading(caller.isWritable());
  }

  /** Called when the caller's connection takes more bytes, or none for the moment. */
  void callerWritable(boolean writable) {
    if (attempt != null) {
      attempt.setReading(writable);
    }
  }

  @Override
  public void ended(Attempt from, AttemptResult result) {
    if (done || from != attempt) {
      return;
    }
    if (!moves.goesOnAfter(from, result, backup)) {
      afterAttempt(result);
    }
  }

  private void afterAttempt(AttemptResult result) {
    if (result instanceof AttemptResult.Answered || result instanceof AttemptResult.Broken) {
      runs++;
    }
    RetryDecision step = RetryRules.after(result, route, runs, sends, started);
    reportEnd(result, step);
    attempt = null;
    switch (step) {
      case RetryDecision.Deliver ignored -> {
        if (result instanceof AttemptResult.Answered answer) {
          deliver(answer);
        }
      }
      case RetryDecision.SendAgain ignored -> {
        if (result instanceof AttemptResult.Answered answer) {
          lastAnswer = answer;
        }
        excluded.add(backend);
        // A backend server that was never reached has not been asked.
        askForPlace(!(result instanceof AttemptResult.Unreachable) || runs > 0);
      }
      case RetryDecision.Fail failure -> fail(failure.code(), describe(result), RETRY_SOON_MILLIS);
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
          case AttemptResult.Broken ignored -> DispatchOutcome.DISPATCH_OUTCOME_FAILED;
          case AttemptResult.Answered answer ->
              answer.head().status() >= 500
                  ? DispatchOutcome.DISPATCH_OUTCOME_FAILED
                  : DispatchOutcome.DISPATCH_OUTCOME_ANSWERED;
        };
    context.placer().reportEnd(placementId, outcome, outputTokens());
    if (!(result instanceof AttemptResult.Answered) || step instanceof RetryDecision.SendAgain) {
      Logger.info(
          "call {} of {} at {}: {}; next: {}",
          call.id(),
          route.name(),
          backend,
          describe(result),
          step.getClass().getSimpleName());
    }
  }

  private static String describe(AttemptResult result) {
    return switch (result) {
      case AttemptResult.Unreachable unreachable -> unreachable.reason();
      case AttemptResult.Broken broken -> broken.reason();
      case AttemptResult.NotRun notRun ->
          "the backend server turned it away with status " + notRun.head().status();
      case AttemptResult.Answered answer -> "status " + answer.head().status();
    };
  }

  private void deliver(AttemptResult.Answered answer) {
    if (!started) {
      progress.replied(context.clock().nowMillis());
      finish();
      context.measured(route, progress.firstReplyMillis());
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
    context.failed(route, code);
    Logger.info("call {} of {} failed with {}: {}", call.id(), route.name(), code, message);
    if (started) {
      caller.abort();
    } else {
      caller.fail(Failure.retryLater(code, message, retryAfterMillis));
    }
  }

  private void timeUp() {
    if (done) {
      return;
    }
    boolean mayHaveRun = runs > 0 || (attempt != null && attempt.wasSent());
    stop();
    fail(
        mayHaveRun ? ResultCode.DEADLINE_PASSED : ResultCode.SHED,
        "its time was up",
        mayHaveRun ? 0 : RETRY_SOON_MILLIS);
  }

  /** Called when the caller has gone. */
  void callerGone() {
    if (!done) {
      stop();
      finish();
    }
  }

  private void stop() {
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
    if (!done) {
      done = true;
      timeout.cancel(false);
      context.closed(this);
      if (progress.isLate()) {
        Logger.info("call {} of {} was late: {}", call.id(), route.name(), progress.times());
      }
    }
  }

  // ---- moving a running request -----------------------------------------------------------------

  @Override
  public void onMigrate(String target, String newBackup) {
    Attempt running = attempt;
    BackendRecord record = context.backend(target);
    if (done || !placed || !started || running == null || record == null || moves.isMoving()) {
      if (!done && placed) {
        stays();
      }
      return;
    }
    moves.move(running, record, newBackup, backup);
  }

  @Override
  public boolean isOver() {
    return done;
  }

  @Override
  public void stays() {
    context.placer().reportEnd(placementId, DispatchOutcome.DISPATCH_OUTCOME_MOVE_FAILED, 0);
  }

  @Override
  public void goesOnAt(BackendRecord to, String newBackup) {
    backup = newBackup;
    progress.moved();
    if (!to.getId().equals(backend)) {
      backend = to.getId();
      context
          .placer()
          .reportEnd(placementId, DispatchOutcome.DISPATCH_OUTCOME_MOVED, outputTokens());
    }
  }

  @Override
  public void sendTo(BackendRecord to, String copyName) {
    send(to, copyName);
  }

  @Override
  public void lost(String reason) {
    afterAttempt(new AttemptResult.Broken(reason));
  }

  /** Returns whether the call is a stream that has begun. */
  boolean isStreaming() {
    return started && route.kind() == Repeatability.STREAM;
  }

  /** Returns the number by which the scheduler knows the call. */
  long placementId() {
    return placementId;
  }
}
