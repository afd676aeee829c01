package org.curranthaven.internal.gateway;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.Set;
import java.util.UUID;
import org.curranthaven.api.Failure;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.Ran;
import org.curranthaven.api.ResultCode;
import org.curranthaven.api.ServiceClass;
import org.curranthaven.internal.membership.BackendAnnouncement;
import org.curranthaven.internal.routing.RequestAttributes;
import org.curranthaven.internal.routing.RoutingEvent.RequestOutcome;
import org.curranthaven.internal.supervision.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Handles one completion request, from the choice of an engine to the last token, and performs the
 * actions that {@link StreamRelay} decides. Runs on the caller's virtual thread.
 */
final class GenerationHandler {
  /** Smallest token timeout, in milliseconds. */
  static final long MIN_TOKEN_TIMEOUT_MILLIS = 400;

  /** Largest token timeout after the first token, in milliseconds. */
  static final long MAX_TOKEN_TIMEOUT_MILLIS = 2_000;

  /** Multiple of the class's gap target after which a stream without a new token is resumed. */
  private static final int TOKEN_TIMEOUT_GAP_FACTOR = 4;

  private static final long POLL_INTERVAL_MILLIS = 100;
  private static final long CALLER_CHECK_INTERVAL_MILLIS = 500;
  private static final int MAX_ATTEMPTS = 5;
  private static final int STATUS_TOO_MANY_REQUESTS = 429;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final int STATUS_CLIENT_ERROR = 400;
  private static final int STATUS_SERVER_ERROR = 500;

  private final Router router;
  private final EngineClient client;
  private final Clock clock;
  private final Metrics metrics;
  private final String externalRequestId;
  private final CompletionRequest request;
  private final RequestAttributes attributes;
  private final ServiceClass serviceClass;
  private final TokenSink sink;
  private final StreamRelay relay;
  private final StringBuilder text = new StringBuilder();
  private final Set<String> excludedBackends = new HashSet<>();

  private boolean earlierAttemptRan;
  private int promptTokens;
  private long lastTokenAtMillis;

  /** How an attempt ended. */
  private sealed interface AttemptEnd {
    /** The generation is complete. */
    record Completed(Completion completion) implements AttemptEnd {}

    /** The request must be run again as a new generation. */
    record Restart(boolean mayHaveRun) implements AttemptEnd {}

    /** The generation must be continued on another engine. */
    record FailOver(BackendAnnouncement lostEngine) implements AttemptEnd {}

    /** The request failed. */
    record Failed(Failure failure) implements AttemptEnd {}
  }

  GenerationHandler(
      GatewayServices services,
      String externalRequestId,
      CompletionRequest request,
      RequestAttributes attributes,
      ServiceClass serviceClass,
      TokenSink sink) {
    this.router = services.router();
    this.client = services.engines();
    this.clock = services.clock();
    this.metrics = services.metrics();
    this.externalRequestId = externalRequestId;
    this.request = request;
    this.attributes = attributes;
    this.serviceClass = serviceClass;
    this.sink = sink;
    this.relay = new StreamRelay(sink.isStreaming(), serviceClass.repeatable());
  }

  /** Runs the request until it succeeds or fails. */
  Outcome<Completion> run() throws InterruptedException, TokenSink.CallerDisconnectedException {
    router.requested(serviceClass.name());
    boolean failingOver = false;
    int attempts = 0;
    while (true) {
      Outcome<Assignment> placement =
          router.route(attributesForAttempt(failingOver), externalRequestId);
      if (placement instanceof Outcome.Failed<Assignment> failed) {
        return Outcome.failed(withEarlierAttempts(failed.failure()));
      }
      Assignment assignment = ((Outcome.Success<Assignment>) placement).value();
      if (failingOver && assignment.backend().resume() != BackendAnnouncement.Resume.TAKEOVER) {
        router.finished(assignment.requestId(), 0, RequestOutcome.CANCELLED);
        return Outcome.failed(engineLost("no other engine can continue the generation"));
      }
      AttemptEnd end = attempt(assignment, failingOver);
      attempts++;
      switch (end) {
        case AttemptEnd.Completed completed -> {
          return Outcome.success(completed.completion());
        }
        case AttemptEnd.Failed failed -> {
          return Outcome.failed(withEarlierAttempts(failed.failure()));
        }
        case AttemptEnd.FailOver failOver -> {
          failingOver = true;
          excludedBackends.add(failOver.lostEngine().name());
        }
        case AttemptEnd.Restart restart -> {
          failingOver = false;
          earlierAttemptRan |= restart.mayHaveRun();
          excludedBackends.add(assignment.backend().name());
          text.setLength(0);
          sink.reset();
          Failure noRetryLeft = waitForRetry(attempts);
          if (noRetryLeft != null) {
            return Outcome.failed(noRetryLeft);
          }
        }
      }
    }
  }

  private RequestAttributes attributesForAttempt(boolean failingOver) {
    Set<String> unusableBackends = new HashSet<>(excludedBackends);
    if (failingOver) {
      unusableBackends.addAll(router.backendsWithoutTakeover());
    }
    return attributes.attempt(router.nextRequestId(), relay.nextIndex(), unusableBackends);
  }

  /** Waits before the next attempt; returns a failure if no retry is left. */
  private @Nullable Failure waitForRetry(int failedAttempts) throws InterruptedException {
    long retryDelayMillis =
        failedAttempts < MAX_ATTEMPTS ? router.tryRetry(serviceClass.name(), failedAttempts) : -1;
    if (retryDelayMillis < 0) {
      Failure noRetryLeft =
          Failure.retryLater(
              ResultCode.RETRY_BUDGET_SPENT,
              ("%d attempts failed or were rejected, and the limit of %d attempts or the retry budget of"
                      + " class '%s' is reached")
                  .formatted(failedAttempts, MAX_ATTEMPTS, serviceClass.name()),
              1_000);
      return withEarlierAttempts(noRetryLeft);
    }
    metrics.retried(serviceClass.name());
    Thread.sleep(retryDelayMillis);
    return null;
  }

  /** Returns the failure, corrected if an earlier attempt ran. */
  private Failure withEarlierAttempts(Failure failure) {
    return earlierAttemptRan && failure.ran() == Ran.NO
        ? new Failure(failure.code(), Ran.YES, failure.message(), failure.retryAfterMillis())
        : failure;
  }

  private Failure engineLost(String reason) {
    return Failure.of(
        ResultCode.ENGINE_LOST,
        "the engine was lost after " + relay.nextIndex() + " tokens: " + reason);
  }

  // ---- one attempt ------------------------------------------------------------------------------

  private AttemptEnd attempt(Assignment assignment, boolean failingOver)
      throws InterruptedException, TokenSink.CallerDisconnectedException {
    BackendAnnouncement engine = assignment.backend();
    String generation = failingOver ? relay.generation() : UUID.randomUUID().toString();
    boolean canResume = engine.resume() != BackendAnnouncement.Resume.NONE;
    EngineStream stream =
        client.open(engine.address(), path(), requestBody(assignment, generation));
    relay.handle(new StreamRelay.Event.Opened(generation, canResume));
    Attempt attempt = new Attempt(assignment, stream);
    try {
      return attempt.run();
    } catch (TokenSink.CallerDisconnectedException e) {
      client.cancel(engine.address(), generation);
      attempt.outcome = RequestOutcome.CANCELLED;
      throw e;
    } finally {
      attempt.stream.close();
      router.finished(assignment.requestId(), relay.nextIndex(), attempt.outcome);
    }
  }

  private String path() {
    return request.chat() ? "/v1/chat/completions" : "/v1/completions";
  }

  private ObjectNode requestBody(Assignment assignment, String generation) {
    ObjectNode body = request.body().deepCopy();
    body.put("stream", true);
    body.put("max_tokens", attributes.maxOutputTokens());
    body.put("priority", assignment.priority());
    body.put("generation_id", generation);
    body.put("deadline_millis", Math.max(0, attributes.responseDueMillis() - clock.nowMillis()));
    if (relay.nextIndex() > 0) {
      body.set("resume", resumeParameters(generation).put("text", text.toString()));
    }
    return body;
  }

  private ObjectNode resumeParameters(String generation) {
    return request
        .body()
        .objectNode()
        .put("generation_id", generation)
        .put("offset", relay.nextIndex());
  }

  /** One attempt on one engine. */
  private final class Attempt {
    private final Assignment assignment;
    private final BackendAnnouncement engine;
    private EngineStream stream;
    private RequestOutcome outcome = RequestOutcome.FAILED;
    private boolean reconnected;
    private long lastActivityMillis = clock.nowMillis();
    private long callerCheckedAtMillis = lastActivityMillis;

    Attempt(Assignment assignment, EngineStream stream) {
      this.assignment = assignment;
      this.engine = assignment.backend();
      this.stream = stream;
    }

    AttemptEnd run() throws InterruptedException, TokenSink.CallerDisconnectedException {
      while (true) {
        AttemptEnd end = handle(stream.next(POLL_INTERVAL_MILLIS));
        if (end != null) {
          return end;
        }
      }
    }

    private @Nullable AttemptEnd handle(EngineStream.Item item)
        throws TokenSink.CallerDisconnectedException {
      return switch (item) {
        case EngineStream.Item.Line line -> handleLine(line.text());
        case EngineStream.Item.Timeout timeout -> handleNoData();
        case EngineStream.Item.ErrorResponse response -> handleErrorResponse(response);
        case EngineStream.Item.ConnectFailed connectFailed -> handleConnectFailure();
        case EngineStream.Item.Closed closed ->
            perform(relay.handle(new StreamRelay.Event.Disconnected()));
      };
    }

    private @Nullable AttemptEnd handleLine(String line)
        throws TokenSink.CallerDisconnectedException {
      EngineToken token = EngineToken.parse(line);
      if (token == null) {
        return null;
      }
      lastActivityMillis = clock.nowMillis();
      StreamRelay.Action action =
          relay.handle(new StreamRelay.Event.Token(token.generation(), token.index()));
      if (action != StreamRelay.Action.DELIVER) {
        return perform(action);
      }
      deliver(token);
      String finishReason = token.finishReason();
      return finishReason == null ? null : completed(finishReason);
    }

    private void deliver(EngineToken token) throws TokenSink.CallerDisconnectedException {
      text.append(token.text());
      promptTokens = Math.max(promptTokens, token.promptTokens());
      sink.accept(token);
      router.progressed(assignment.requestId(), relay.nextIndex());
      recordLatency();
    }

    private void recordLatency() {
      long nowMillis = clock.nowMillis();
      metrics.tokenDelivered(serviceClass.name());
      if (lastTokenAtMillis == 0) {
        metrics.firstReply(serviceClass, nowMillis - attributes.arrivedAtMillis());
      } else {
        metrics.tokenGap(serviceClass, nowMillis - lastTokenAtMillis);
      }
      lastTokenAtMillis = nowMillis;
    }

    private AttemptEnd completed(String finishReason) {
      outcome = RequestOutcome.COMPLETED;
      return new AttemptEnd.Completed(
          new Completion(
              relay.generation(),
              text.toString(),
              finishReason,
              promptTokens > 0 ? promptTokens : request.promptTokens(),
              relay.nextIndex()));
    }

    private @Nullable AttemptEnd handleNoData() throws TokenSink.CallerDisconnectedException {
      long nowMillis = clock.nowMillis();
      if (nowMillis - callerCheckedAtMillis >= CALLER_CHECK_INTERVAL_MILLIS) {
        callerCheckedAtMillis = nowMillis;
        sink.checkCaller();
      }
      BackendAnnouncement current = router.liveBackend(engine.name());
      boolean engineUnavailable = current == null || current.incarnation() != engine.incarnation();
      if (engineUnavailable) {
        return perform(relay.handle(new StreamRelay.Event.EngineLost()));
      }
      if (nowMillis - lastActivityMillis >= tokenTimeoutMillis()) {
        lastActivityMillis = nowMillis;
        return perform(relay.handle(new StreamRelay.Event.TokenTimeout()));
      }
      return null;
    }

    private long tokenTimeoutMillis() {
      if (relay.nextIndex() == 0) {
        return Math.max(MAX_TOKEN_TIMEOUT_MILLIS, attributes.targets().firstReplyMillis());
      }
      return Math.clamp(
          TOKEN_TIMEOUT_GAP_FACTOR * attributes.targets().gapMillis(),
          MIN_TOKEN_TIMEOUT_MILLIS,
          MAX_TOKEN_TIMEOUT_MILLIS);
    }

    private @Nullable AttemptEnd handleErrorResponse(EngineStream.Item.ErrorResponse response)
        throws TokenSink.CallerDisconnectedException {
      if (reconnected || relay.nextIndex() > 0) {
        return perform(relay.handle(new StreamRelay.Event.EngineLost()));
      }
      int status = response.status();
      if (status == STATUS_TOO_MANY_REQUESTS || status == STATUS_UNAVAILABLE) {
        outcome = RequestOutcome.REFUSED;
        return perform(relay.handle(new StreamRelay.Event.Rejected()));
      }
      if (status >= STATUS_CLIENT_ERROR && status < STATUS_SERVER_ERROR) {
        outcome = RequestOutcome.CANCELLED;
        return new AttemptEnd.Failed(
            Failure.of(
                ResultCode.BACKEND_REFUSED,
                "the engine rejected the request with status " + status + ": " + response.body()));
      }
      return perform(relay.handle(new StreamRelay.Event.EngineLost()));
    }

    private @Nullable AttemptEnd handleConnectFailure()
        throws TokenSink.CallerDisconnectedException {
      boolean neverSent = !reconnected && relay.nextIndex() == 0;
      if (neverSent) {
        outcome = RequestOutcome.REFUSED;
        return perform(relay.handle(new StreamRelay.Event.Rejected()));
      }
      return perform(relay.handle(new StreamRelay.Event.EngineLost()));
    }

    private @Nullable AttemptEnd perform(StreamRelay.Action action) {
      return switch (action) {
        case DELIVER, DROP, WAIT -> null;
        case RESUME -> {
          resumeOverNewConnection();
          yield null;
        }
        case TAKE_OVER -> {
          client.cancel(engine.address(), relay.generation());
          yield new AttemptEnd.FailOver(engine);
        }
        case START_AGAIN -> {
          boolean rejected = outcome == RequestOutcome.REFUSED;
          if (!rejected) {
            client.cancel(engine.address(), relay.generation());
          }
          yield new AttemptEnd.Restart(!rejected);
        }
        case FAIL_LOST -> new AttemptEnd.Failed(engineLost("the generation cannot be continued"));
        case FAIL_UNKNOWN ->
            new AttemptEnd.Failed(
                Failure.of(
                    ResultCode.OUTCOME_UNKNOWN,
                    "the engine was lost while it may have been running a request that must not be"
                        + " repeated"));
      };
    }

    private void resumeOverNewConnection() {
      metrics.streamResumed(serviceClass.name());
      stream.close();
      ObjectNode body = request.body().objectNode();
      body.put("model", request.model());
      body.put("stream", true);
      body.set("resume", resumeParameters(relay.generation()));
      stream = client.openOnNewConnection(engine.address(), path(), body);
      reconnected = true;
    }
  }
}
