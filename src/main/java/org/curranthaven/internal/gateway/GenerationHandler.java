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
 * One completion from choice of an engine to its last token: carries out what {@link StreamRelay}
 * decides. Runs on the caller's virtual thread.
 */
final class GenerationHandler {
  /** Shortest silence after which a stream is asked again, in milliseconds. */
  static final long MIN_SILENCE_MILLIS = 400;

  /** Longest such silence between two tokens, in milliseconds. */
  static final long MAX_SILENCE_MILLIS = 2_000;

  /** The class's gap target counts this many times before a stream is asked again. */
  private static final int GAPS_OF_SILENCE = 4;

  private static final long POLL_MILLIS = 100;
  private static final long PROBE_MILLIS = 500;
  private static final int MAX_ATTEMPTS = 5;
  private static final int STATUS_TOO_MANY = 429;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final int STATUS_CLIENT_ERROR = 400;
  private static final int STATUS_SERVER_ERROR = 500;

  private final Router router;
  private final EngineClient client;
  private final Clock clock;
  private final Metrics metrics;
  private final String requestName;
  private final CompletionRequest request;
  private final RequestAttributes facts;
  private final ServiceClass serviceClass;
  private final TokenSink sink;
  private final StreamRelay relay;
  private final StringBuilder text = new StringBuilder();
  private final Set<String> excluded = new HashSet<>();

  private boolean opened;
  private int promptTokens;
  private long lastTokenAtMillis;

  /** How one attempt ended. */
  private sealed interface AttemptEnd {
    record Completed(Completion completion) implements AttemptEnd {}

    record StartAgain(boolean ran) implements AttemptEnd {}

    record TakeOver(BackendAnnouncement lost) implements AttemptEnd {}

    record Failed(Failure failure) implements AttemptEnd {}
  }

  GenerationHandler(
      RequestContext context,
      String requestName,
      CompletionRequest request,
      RequestAttributes facts,
      ServiceClass serviceClass,
      TokenSink sink) {
    this.router = context.router();
    this.client = context.engines();
    this.clock = context.clock();
    this.metrics = context.metrics();
    this.requestName = requestName;
    this.request = request;
    this.facts = facts;
    this.serviceClass = serviceClass;
    this.sink = sink;
    this.relay = new StreamRelay(sink.streamed(), serviceClass.repeatable());
  }

  /** Runs the call to its end. */
  Outcome<Completion> run() throws InterruptedException, TokenSink.CallerGoneException {
    router.requested(serviceClass.name());
    boolean takeOver = false;
    int failures = 0;
    while (true) {
      Outcome<Assignment> routed = router.route(factsFor(takeOver), requestName);
      if (routed instanceof Outcome.Failed<Assignment> failed) {
        return Outcome.failed(afterAttempts(failed.failure()));
      }
      Assignment assignment = ((Outcome.Success<Assignment>) routed).value();
      if (takeOver && assignment.server().resume() != BackendAnnouncement.Resume.TAKEOVER) {
        router.finished(assignment.requestId(), 0, RequestOutcome.CANCELLED);
        return Outcome.failed(lost("no other engine can continue it"));
      }
      AttemptEnd end = attempt(assignment, takeOver);
      failures++;
      switch (end) {
        case AttemptEnd.Completed completed -> {
          return Outcome.success(completed.completion());
        }
        case AttemptEnd.Failed failed -> {
          return Outcome.failed(failed.failure());
        }
        case AttemptEnd.TakeOver over -> {
          takeOver = true;
          excluded.add(over.lost().name());
        }
        case AttemptEnd.StartAgain again -> {
          takeOver = false;
          opened |= again.ran();
          excluded.add(assignment.server().name());
          text.setLength(0);
          sink.restart();
          Failure refusal = spendRetry(failures);
          if (refusal != null) {
            return Outcome.failed(refusal);
          }
        }
      }
    }
  }

  private RequestAttributes factsFor(boolean takeOver) {
    Set<String> without = new HashSet<>(excluded);
    if (takeOver) {
      without.addAll(router.serversWithoutTakeover());
    }
    return facts.attempt(router.nextRequestId(), relay.nextIndex(), without);
  }

  private @Nullable Failure spendRetry(int failures) throws InterruptedException {
    long wait = failures < MAX_ATTEMPTS ? router.tryRetry(serviceClass.name(), failures) : -1;
    if (wait < 0) {
      Failure spent =
          Failure.retryLater(
              ResultCode.RETRY_BUDGET_SPENT,
              failures + " engines failed or refused, and the class's retry budget is spent",
              1_000);
      return afterAttempts(spent);
    }
    metrics.retried(serviceClass.name());
    Thread.sleep(wait);
    return null;
  }

  /** Returns the failure with the truth about attempts made before it. */
  private Failure afterAttempts(Failure failure) {
    return opened && failure.ran() == Ran.NO
        ? new Failure(failure.code(), Ran.YES, failure.message(), failure.retryAfterMillis())
        : failure;
  }

  private Failure lost(String why) {
    return Failure.of(
        ResultCode.ENGINE_LOST,
        "the engine was lost after " + relay.nextIndex() + " tokens, and " + why);
  }

  // ---- one attempt ------------------------------------------------------------------------------

  private AttemptEnd attempt(Assignment assignment, boolean takeOver)
      throws InterruptedException, TokenSink.CallerGoneException {
    BackendAnnouncement engine = assignment.server();
    String generation = takeOver ? relay.generation() : UUID.randomUUID().toString();
    boolean canResume = engine.resume() != BackendAnnouncement.Resume.NONE;
    EngineStream stream = client.open(engine.address(), path(), body(assignment, generation));
    relay.handle(new StreamRelay.Event.Opened(generation, canResume));
    Attempt attempt = new Attempt(assignment, stream);
    try {
      return attempt.run();
    } catch (TokenSink.CallerGoneException e) {
      client.cancel(engine.address(), generation);
      attempt.ending = RequestOutcome.CANCELLED;
      throw e;
    } finally {
      attempt.stream.close();
      router.finished(assignment.requestId(), relay.nextIndex(), attempt.ending);
    }
  }

  private String path() {
    return request.chat() ? "/v1/chat/completions" : "/v1/completions";
  }

  private ObjectNode body(Assignment assignment, String generation) {
    ObjectNode body = request.body().deepCopy();
    body.put("stream", true);
    body.put("max_tokens", facts.maxOutputTokens());
    body.put("priority", assignment.priority());
    body.put("generation_id", generation);
    body.put("deadline_millis", Math.max(0, facts.responseDueMillis() - clock.nowMillis()));
    if (relay.nextIndex() > 0) {
      body.set("resume", resume(generation).put("text", text.toString()));
    }
    return body;
  }

  private ObjectNode resume(String generation) {
    return request
        .body()
        .objectNode()
        .put("generation_id", generation)
        .put("offset", relay.nextIndex());
  }

  /** State of one attempt on one engine. */
  private final class Attempt {
    private final Assignment assignment;
    private final BackendAnnouncement engine;
    private EngineStream stream;
    private RequestOutcome ending = RequestOutcome.FAILED;
    private boolean resumed;
    private long quietSinceMillis = clock.nowMillis();
    private long probedAtMillis = quietSinceMillis;

    Attempt(Assignment assignment, EngineStream stream) {
      this.assignment = assignment;
      this.engine = assignment.server();
      this.stream = stream;
    }

    AttemptEnd run() throws InterruptedException, TokenSink.CallerGoneException {
      while (true) {
        AttemptEnd end = handle(stream.next(POLL_MILLIS));
        if (end != null) {
          return end;
        }
      }
    }

    private @Nullable AttemptEnd handle(EngineStream.Item item)
        throws TokenSink.CallerGoneException {
      return switch (item) {
        case EngineStream.Item.Line line -> line(line.text());
        case EngineStream.Item.Silence silence -> silence();
        case EngineStream.Item.Rejected rejected -> rejected(rejected);
        case EngineStream.Item.NotConnected refused -> notConnected();
        case EngineStream.Item.Ended ended -> act(relay.handle(new StreamRelay.Event.Broken()));
      };
    }

    private @Nullable AttemptEnd line(String line) throws TokenSink.CallerGoneException {
      EngineToken token = EngineToken.parse(line);
      if (token == null) {
        return null;
      }
      quietSinceMillis = clock.nowMillis();
      StreamRelay.Action action =
          relay.handle(new StreamRelay.Event.Token(token.generation(), token.index()));
      if (action != StreamRelay.Action.DELIVER) {
        return act(action);
      }
      deliver(token);
      String finishReason = token.finishReason();
      return finishReason == null ? null : completed(finishReason);
    }

    private void deliver(EngineToken token) throws TokenSink.CallerGoneException {
      text.append(token.text());
      promptTokens = Math.max(promptTokens, token.promptTokens());
      sink.token(token);
      router.progressed(assignment.requestId(), relay.nextIndex());
      measure();
    }

    private void measure() {
      long nowMillis = clock.nowMillis();
      metrics.delivered(serviceClass.name());
      if (lastTokenAtMillis == 0) {
        metrics.firstReply(serviceClass, nowMillis - facts.arrivedAtMillis());
      } else {
        metrics.gap(serviceClass, nowMillis - lastTokenAtMillis);
      }
      lastTokenAtMillis = nowMillis;
    }

    private AttemptEnd completed(String finishReason) {
      ending = RequestOutcome.COMPLETED;
      return new AttemptEnd.Completed(
          new Completion(
              relay.generation(),
              text.toString(),
              finishReason,
              promptTokens > 0 ? promptTokens : request.promptTokens(),
              relay.nextIndex()));
    }

    private @Nullable AttemptEnd silence() throws TokenSink.CallerGoneException {
      long nowMillis = clock.nowMillis();
      if (nowMillis - probedAtMillis >= PROBE_MILLIS) {
        probedAtMillis = nowMillis;
        sink.probe();
      }
      BackendAnnouncement latest = router.alive(engine.name());
      boolean gone = latest == null || latest.incarnation() != engine.incarnation();
      if (gone) {
        return act(relay.handle(new StreamRelay.Event.EngineLost()));
      }
      if (nowMillis - quietSinceMillis >= silenceLimitMillis()) {
        quietSinceMillis = nowMillis;
        return act(relay.handle(new StreamRelay.Event.Silent()));
      }
      return null;
    }

    private long silenceLimitMillis() {
      if (relay.nextIndex() == 0) {
        return Math.max(MAX_SILENCE_MILLIS, facts.targets().firstReplyMillis());
      }
      return Math.clamp(
          GAPS_OF_SILENCE * facts.targets().gapMillis(), MIN_SILENCE_MILLIS, MAX_SILENCE_MILLIS);
    }

    private @Nullable AttemptEnd rejected(EngineStream.Item.Rejected rejected)
        throws TokenSink.CallerGoneException {
      if (resumed || relay.nextIndex() > 0) {
        return act(relay.handle(new StreamRelay.Event.EngineLost()));
      }
      int status = rejected.status();
      if (status == STATUS_TOO_MANY || status == STATUS_UNAVAILABLE) {
        ending = RequestOutcome.REFUSED;
        return act(relay.handle(new StreamRelay.Event.Refused()));
      }
      if (status >= STATUS_CLIENT_ERROR && status < STATUS_SERVER_ERROR) {
        ending = RequestOutcome.CANCELLED;
        return new AttemptEnd.Failed(
            Failure.of(
                ResultCode.BACKEND_REFUSED,
                "the engine refused the request with status " + status + ": " + rejected.body()));
      }
      return act(relay.handle(new StreamRelay.Event.EngineLost()));
    }

    private @Nullable AttemptEnd notConnected() throws TokenSink.CallerGoneException {
      boolean nothingSent = !resumed && relay.nextIndex() == 0;
      if (nothingSent) {
        ending = RequestOutcome.REFUSED;
        return act(relay.handle(new StreamRelay.Event.Refused()));
      }
      return act(relay.handle(new StreamRelay.Event.EngineLost()));
    }

    private @Nullable AttemptEnd act(StreamRelay.Action action) {
      return switch (action) {
        case DELIVER, DROP, WAIT -> null;
        case RESUME -> {
          resumeOverNewConnection();
          yield null;
        }
        case TAKE_OVER -> {
          client.cancel(engine.address(), relay.generation());
          yield new AttemptEnd.TakeOver(engine);
        }
        case START_AGAIN -> {
          boolean refused = ending == RequestOutcome.REFUSED;
          if (!refused) {
            client.cancel(engine.address(), relay.generation());
          }
          yield new AttemptEnd.StartAgain(!refused);
        }
        case FAIL_LOST -> new AttemptEnd.Failed(lost("it cannot be continued"));
        case FAIL_UNKNOWN ->
            new AttemptEnd.Failed(
                Failure.of(
                    ResultCode.OUTCOME_UNKNOWN,
                    "the engine was lost while it may have been running a request that may not be"
                        + " repeated"));
      };
    }

    private void resumeOverNewConnection() {
      metrics.resumed(serviceClass.name());
      stream.close();
      ObjectNode body = request.body().objectNode();
      body.put("model", request.model());
      body.put("stream", true);
      body.set("resume", resume(relay.generation()));
      stream = client.openFresh(engine.address(), path(), body);
      resumed = true;
    }
  }
}
