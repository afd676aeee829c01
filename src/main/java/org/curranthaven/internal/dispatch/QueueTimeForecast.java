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
  static final double TOKEN_MILLIS = 10;

  /** Time that an engine takes to read one prompt token, until first replies have told better. */
  private static final double FIRST_READ_MILLIS_PER_TOKEN = 0.16;

  private static final double READ_WEIGHT = 0.05;

  /** Bounds of the learnt time: one odd call must not turn others away. */
  private static final double LEAST_READ_MILLIS_PER_TOKEN = 0.07;

  private static final double MOST_READ_MILLIS_PER_TOKEN = 0.5;

  /** Part of a first reply's time that is kept free for what the mean does not tell. */
  private static final double READ_MARGIN = 1.1;

  /** Time that a plain call takes until runs have told better. */
  private static final double FIRST_PLAIN_MILLIS = 100;

  private static final double PLAIN_MILLIS_WEIGHT = 0.05;

  /** Time for which calls wait for a service whose backend servers are not known yet. */
  static final long UNKNOWN_SERVICE_WAIT_MILLIS = 1_000;

  static final long MIN_RETRY_AFTER_MILLIS = 200;
  private static final long MAX_RETRY_AFTER_MILLIS = 15_000;
  private static final double RETRY_AFTER_SPREAD = 0.3;

  /** Memory that becomes free when a call ends. */
  private record Release(double afterMillis, double tokens) {}

  private final Backends backends;
  private final int capacityShares;
  private final RandomGenerator random;
  private final Map<String, OutputLengthForecast> lengths = new HashMap<>();
  private final Map<String, Double> plainMillis = new HashMap<>();
  private final Map<String, Double> readMillisPerToken = new HashMap<>();

  QueueTimeForecast(Backends backends, int capacityShares, RandomGenerator random) {
    this.backends = backends;
    this.capacityShares = capacityShares;
    this.random = random;
  }

  /** Returns the output tokens expected of the call. */
  int outputTokens(PlacementRequest ask) {
    return lengthsOf(ask).forecast(ask);
  }

  private OutputLengthForecast lengthsOf(PlacementRequest ask) {
    return lengths.computeIfAbsent(ask.getRoute(), name -> new OutputLengthForecast());
  }

  /** Learns from a call that was answered. */
  void answered(RunningRequest call, int tokens, long nowMillis) {
    if (call.ask.getEngine()) {
      lengthsOf(call.ask).finished(tokens);
    } else {
      double took = nowMillis - call.placedAtMillis;
      plainMillis.merge(
          call.ask.getService(), took, (old, now) -> old + PLAIN_MILLIS_WEIGHT * (now - old));
    }
  }

  /** Learns from a call whose first output came. */
  void replied(RunningRequest call, long nowMillis) {
    if (call.tokensAhead > 0) {
      double each = (double) (nowMillis - call.placedAtMillis) / call.tokensAhead;
      double bounded = Math.clamp(each, LEAST_READ_MILLIS_PER_TOKEN, MOST_READ_MILLIS_PER_TOKEN);
      String service = call.ask.getService();
      double old = perToken(service);
      readMillisPerToken.put(service, old + READ_WEIGHT * (bounded - old));
    }
  }

  private double perToken(String service) {
    return readMillisPerToken.getOrDefault(service, FIRST_READ_MILLIS_PER_TOKEN);
  }

  /** Returns the time from a call's placement on an idle engine to its first reply. */
  long readMillis(PlacementRequest ask) {
    return ask.getEngine() ? firstReplyMillis(ask, ask.getPromptTokens()) : 0;
  }

  /**
   * Returns the time from a call's placement to its first reply.
   *
   * @param tokensAhead prompt tokens to be read until then, the call's own included
   */
  long firstReplyMillis(PlacementRequest ask, int tokensAhead) {
    return (long) (tokensAhead * perToken(ask.getService()) * READ_MARGIN);
  }

  /** Returns when to come back, spread so that those turned away together do not return so. */
  long retryAfterMillis(double expectedMillis) {
    double spread = expectedMillis * (1 + RETRY_AFTER_SPREAD * random.nextDouble());
    return Math.clamp((long) spread, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
  }

  /** Returns the time until room is expected for a call behind those that wait. */
  double expectedWaitMillis(PlacementRequest ask, Collection<QueuedRequest> queue) {
    return ask.getEngine() ? engineWaitMillis(ask, queue) : plainWaitMillis(ask, queue);
  }

  private double plainWaitMillis(PlacementRequest ask, Collection<QueuedRequest> queue) {
    int slots = backends.stayingOf(ask.getService()).mapToInt(BackendState::slots).sum();
    double each = plainMillis.getOrDefault(ask.getService(), FIRST_PLAIN_MILLIS);
    return slots == 0
        ? UNKNOWN_SERVICE_WAIT_MILLIS
        : (queue.size() + 1) * each * capacityShares / slots;
  }

  private double engineWaitMillis(PlacementRequest ask, Collection<QueuedRequest> queue) {
    double needed = needOf(ask);
    for (QueuedRequest ahead : queue) {
      if (ahead.ask().getPriority() <= ask.getPriority()) {
        needed += needOf(ahead.ask());
      }
    }
    double freed = 0;
    List<Release> releases = releasesOf(ask.getService());
    for (Release release : releases) {
      freed += release.tokens();
      if (freed >= needed) {
        return release.afterMillis();
      }
    }
    return releases.isEmpty() ? UNKNOWN_SERVICE_WAIT_MILLIS : releases.getLast().afterMillis();
  }

  private List<Release> releasesOf(String service) {
    List<Release> releases = new ArrayList<>();
    backends
        .stayingOf(service)
        .flatMap(backend -> backend.calls.values().stream())
        .forEach(
            call ->
                releases.add(
                    new Release(restMillis(call, perToken(service)), call.memoryTokens())));
    releases.sort(Comparator.comparingDouble(Release::afterMillis));
    return releases;
  }

  private static double restMillis(RunningRequest call, double readMillisPerToken) {
    return call.remainingTokens() * TOKEN_MILLIS + call.unreadTokens() * readMillisPerToken;
  }

  private double needOf(PlacementRequest ask) {
    return ask.getPromptTokens() + outputTokens(ask);
  }
}
