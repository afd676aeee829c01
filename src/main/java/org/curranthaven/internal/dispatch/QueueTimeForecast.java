package org.curranthaven.internal.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.curranthaven.internal.transport.wire.PlacementRequest;

/**
 * Forecasts when there is room for a call that none has room for now. Answers the load under which
 * a call that waits in vain costs its caller the time to try elsewhere. Not thread-safe.
 */
final class QueueTimeForecast {
  /** Time that an engine takes for one output token. */
  static final double MILLIS_PER_OUTPUT_TOKEN = 10;

  /** Time that an engine takes to read one prompt token, until first replies have told better. */
  private static final double INITIAL_MILLIS_PER_PROMPT_TOKEN = 0.16;

  private static final double PROMPT_TIME_WEIGHT = 0.05;

  /** Bounds of the learnt time: one odd call must not turn others away. */
  private static final double MIN_MILLIS_PER_PROMPT_TOKEN = 0.07;

  private static final double MAX_MILLIS_PER_PROMPT_TOKEN = 0.5;

  /** Part of a first reply's time that is kept free for what the mean does not tell. */
  private static final double FIRST_REPLY_MARGIN = 1.1;

  /** Time that a plain call takes until runs have told better. */
  private static final double INITIAL_PLAIN_MILLIS = 100;

  private static final double PLAIN_MILLIS_WEIGHT = 0.05;

  /** Time for which calls wait for a service whose backend servers are not known yet. */
  static final long UNKNOWN_SERVICE_TIMEOUT_MILLIS = 1_000;

  static final long MIN_RETRY_AFTER_MILLIS = 200;
  private static final long MAX_RETRY_AFTER_MILLIS = 15_000;
  private static final double RETRY_AFTER_JITTER = 0.3;

  /** Memory that becomes free when a call ends. */
  private record Release(double afterMillis, double tokens) {}

  private final Backends backends;
  private final int capacityShares;
  private final RandomGenerator random;
  private final Map<String, OutputLengthForecast> outputLengthsByRoute = new HashMap<>();
  private final Map<String, Double> plainMillisByService = new HashMap<>();
  private final Map<String, Double> promptTokenMillisByService = new HashMap<>();

  QueueTimeForecast(Backends backends, int capacityShares, RandomGenerator random) {
    this.backends = backends;
    this.capacityShares = capacityShares;
    this.random = random;
  }

  /** Returns the output tokens expected of the call. */
  int outputTokens(PlacementRequest ask) {
    return outputLengthsOf(ask).forecast(ask);
  }

  private OutputLengthForecast outputLengthsOf(PlacementRequest ask) {
    return outputLengthsByRoute.computeIfAbsent(ask.getRoute(), name -> new OutputLengthForecast());
  }

  /** Learns from a call that was answered. */
  void recordCompletion(RunningRequest call, int tokens, long nowMillis) {
    if (call.request.getEngine()) {
      outputLengthsOf(call.request).recordOutput(tokens);
    } else {
      double took = nowMillis - call.placedAtMillis;
      plainMillisByService.merge(
          call.request.getService(), took, (old, now) -> old + PLAIN_MILLIS_WEIGHT * (now - old));
    }
  }

  /** Learns from a call whose first output came. */
  void recordFirstReply(RunningRequest call, long nowMillis) {
    if (call.promptTokensToFirstReply > 0) {
      double each = (double) (nowMillis - call.placedAtMillis) / call.promptTokensToFirstReply;
      double bounded = Math.clamp(each, MIN_MILLIS_PER_PROMPT_TOKEN, MAX_MILLIS_PER_PROMPT_TOKEN);
      String service = call.request.getService();
      double old = millisPerPromptToken(service);
      promptTokenMillisByService.put(service, old + PROMPT_TIME_WEIGHT * (bounded - old));
    }
  }

  private double millisPerPromptToken(String service) {
    return promptTokenMillisByService.getOrDefault(service, INITIAL_MILLIS_PER_PROMPT_TOKEN);
  }

  /** Returns the time from a call's placement on an idle engine to its first reply. */
  long idleFirstReplyMillis(PlacementRequest ask) {
    return ask.getEngine() ? firstReplyMillis(ask, ask.getPromptTokens()) : 0;
  }

  /**
   * Returns the time from a call's placement to its first reply.
   *
   * @param tokensAhead prompt tokens to be read until then, the call's own included
   */
  long firstReplyMillis(PlacementRequest ask, int tokensAhead) {
    return (long) (tokensAhead * millisPerPromptToken(ask.getService()) * FIRST_REPLY_MARGIN);
  }

  /** Returns when to come back, spread so that those turned away together do not return so. */
  long retryAfterMillis(double expectedMillis) {
    double spread = expectedMillis * (1 + RETRY_AFTER_JITTER * random.nextDouble());
    return Math.clamp((long) spread, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
  }

  /** Returns the time until room is expected for a call behind those that wait. */
  double expectedQueueMillis(PlacementRequest ask, Collection<QueuedRequest> queue) {
    return ask.getEngine() ? engineQueueMillis(ask, queue) : plainQueueMillis(ask, queue);
  }

  private double plainQueueMillis(PlacementRequest ask, Collection<QueuedRequest> queue) {
    int slots = backends.notLeaving(ask.getService()).mapToInt(BackendState::slots).sum();
    double each = plainMillisByService.getOrDefault(ask.getService(), INITIAL_PLAIN_MILLIS);
    return slots == 0
        ? UNKNOWN_SERVICE_TIMEOUT_MILLIS
        : (queue.size() + 1) * each * capacityShares / slots;
  }

  private double engineQueueMillis(PlacementRequest ask, Collection<QueuedRequest> queue) {
    double needed = neededMemoryTokens(ask);
    for (QueuedRequest ahead : queue) {
      if (ahead.request().getPriority() <= ask.getPriority()) {
        needed += neededMemoryTokens(ahead.request());
      }
    }
    double freed = 0;
    List<Release> releases = expectedReleases(ask.getService());
    for (Release release : releases) {
      freed += release.tokens();
      if (freed >= needed) {
        return release.afterMillis();
      }
    }
    return releases.isEmpty() ? UNKNOWN_SERVICE_TIMEOUT_MILLIS : releases.getLast().afterMillis();
  }

  private List<Release> expectedReleases(String service) {
    List<Release> releases = new ArrayList<>();
    backends
        .notLeaving(service)
        .flatMap(backend -> backend.requests.values().stream())
        .forEach(
            call ->
                releases.add(
                    new Release(
                        remainingMillis(call, millisPerPromptToken(service)),
                        call.memoryTokens())));
    releases.sort(Comparator.comparingDouble(Release::afterMillis));
    return releases;
  }

  private static double remainingMillis(RunningRequest call, double readMillisPerToken) {
    return call.remainingTokens() * MILLIS_PER_OUTPUT_TOKEN
        + call.pendingPromptTokens() * readMillisPerToken;
  }

  private double neededMemoryTokens(PlacementRequest ask) {
    return ask.getPromptTokens() + outputTokens(ask);
  }
}
