package org.curranthaven.internal.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.curranthaven.internal.catalog.EngineCapabilities;
import org.curranthaven.internal.transport.wire.PlacementRequest;

/**
 * Forecasts when capacity becomes free for a request that no backend server can run now. Rejecting
 * a request that would not be placed in time leaves its caller the time to try elsewhere. Not
 * thread-safe.
 */
final class QueueTimeForecast {
  /**
   * Factor on the forecast first-reply time. A request placed at the edge of its time is late half
   * of the time, and then takes the capacity of one that would have been in time.
   */
  private static final double FIRST_REPLY_MARGIN = 1.8;

  /**
   * Share of a request's target that its own prompt may take with this margin. The margin of a
   * larger prompt is less: it would otherwise count as late wherever it runs and however soon.
   */
  private static final double MAX_MARGIN_TARGET_SHARE = 0.8;

  /** Lowest such margin; a prompt that takes nearly all of its target on any engine is late. */
  private static final double MIN_FIRST_REPLY_MARGIN = 1.1;

  /**
   * Safety factor on the learnt time of plain requests on fully used servers. Without it, requests
   * near their due time are placed, end late, and take the capacity of others.
   */
  private static final double LEARNT_PLAIN_MARGIN = 2;

  /** Duration of a request to a plain service, used until completions have been observed. */
  private static final double INITIAL_PLAIN_MILLIS = 100;

  /** Weight of the latest completion in the moving average of that duration. */
  private static final double LATEST_COMPLETION_WEIGHT = 0.05;

  /** Time for which requests are queued for a service without a known backend server. */
  static final long UNKNOWN_SERVICE_TIMEOUT_MILLIS = 1_000;

  static final long MIN_RETRY_AFTER_MILLIS = 200;
  private static final long MAX_RETRY_AFTER_MILLIS = 15_000;

  /**
   * Longest delay where clients that come back as told are served first; longer than the other one,
   * since a backlog of long streams may take that long and nobody is told too early.
   */
  private static final long MAX_RETRY_AFTER_WITH_RESERVE_MILLIS = 60_000;

  private static final double RETRY_AFTER_JITTER = 0.3;

  /**
   * Jitter where each rejected request is told a time of its own, so that they are spread already;
   * memory stays unused for a client that is told too late.
   */
  private static final double RETRY_AFTER_JITTER_WITH_RESERVE = 0.05;

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Memory that becomes free when a running request ends. */
  private record Release(double afterMillis, double tokens) {}

  private final Backends backends;
  private final CapacityRules capacityRules;
  private final RequestRateLimits rateLimits;
  private final RandomGenerator random;
  private final boolean learning;
  private final DispatchFeatures features;
  private final Map<String, OutputLengthForecast> outputLengthsByRoute = new HashMap<>();
  private final Map<String, Double> plainMillisByService = new HashMap<>();
  private final EngineSpeeds speeds;
  private final CapacityView capacityView;

  /**
   * Creates a forecast.
   *
   * @param learning whether it learns from completed requests
   */
  QueueTimeForecast(
      Backends backends,
      EngineSpeeds speeds,
      CapacityView capacityView,
      CapacityRules capacityRules,
      RequestRateLimits rateLimits,
      RandomGenerator random,
      boolean learning,
      DispatchFeatures features) {
    this.features = features;
    this.speeds = speeds;
    this.capacityView = capacityView;
    this.learning = learning;
    this.backends = backends;
    this.capacityRules = capacityRules;
    this.rateLimits = rateLimits;
    this.random = random;
  }

  /** Returns the forecast output length of the request, in tokens. */
  int outputTokens(PlacementRequest request) {
    return outputLengthsOf(request).forecast(request);
  }

  private OutputLengthForecast outputLengthsOf(PlacementRequest request) {
    return outputLengthsByRoute.computeIfAbsent(
        request.getRoute(), route -> new OutputLengthForecast());
  }

  /** Updates the averages from a request that completed. */
  void recordCompletion(RunningRequest running, int outputTokens, long nowMillis) {
    if (!learning) {
      return;
    }
    if (running.request.getEngine()) {
      outputLengthsOf(running.request).recordOutput(outputTokens);
    } else {
      double elapsedMillis = nowMillis - running.placedAtMillis;
      plainMillisByService.merge(
          running.request.getService(),
          elapsedMillis,
          (average, latest) -> average + LATEST_COMPLETION_WEIGHT * (latest - average));
    }
  }

  /**
   * Returns the time from placement on an idle engine to the first reply. For plain services, the
   * time that a fully used server takes if it is learnt, else 0.
   */
  long idleFirstReplyMillis(PlacementRequest request, long nowMillis) {
    return request.getEngine()
        ? firstReplyMillis(request, request.getPromptTokens())
        : (long) learntPlainMillis(request, nowMillis);
  }

  private double learntPlainMillis(PlacementRequest request, long nowMillis) {
    if (!capacityView.isActive(request.getService())) {
      return 0;
    }
    return LEARNT_PLAIN_MARGIN
        * backends
            .notLeavingFor(request)
            .mapToDouble(backend -> capacityView.fullPlainMillis(backend, nowMillis).orElse(0))
            .average()
            .orElse(0);
  }

  /**
   * Returns the forecast time from placement to the first reply.
   *
   * @param promptTokens prompt tokens to process until then, including the request's own
   */
  long firstReplyMillis(PlacementRequest request, int promptTokens) {
    double millisPerToken = speeds.millisPerPromptToken(request.getService());
    return (long) (promptTokens * millisPerToken * firstReplyMargin(request, millisPerToken));
  }

  private static double firstReplyMargin(PlacementRequest request, double millisPerToken) {
    double ownMillis = Math.max(1, request.getPromptTokens() * millisPerToken);
    double affordable = MAX_MARGIN_TARGET_SHARE * request.getTargetLeftMillis() / ownMillis;
    return Math.clamp(affordable, MIN_FIRST_REPLY_MARGIN, FIRST_REPLY_MARGIN);
  }

  /** Returns the same for an engine whose speed may be known. */
  double firstReplyMillis(
      BackendState engine, PlacementRequest request, int promptTokens, long nowMillis) {
    double averageMillis = firstReplyMillis(request, promptTokens);
    return capacityView.promptMillis(engine, averageMillis, nowMillis);
  }

  /**
   * Returns the retry delay, with jitter so that requests rejected together are not retried
   * together.
   */
  long retryAfterMillis(double expectedMillis) {
    if (features.reservesForUrgent()) {
      double delayMillis =
          expectedMillis * (1 + RETRY_AFTER_JITTER_WITH_RESERVE * random.nextDouble());
      return Math.clamp(
          (long) delayMillis, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_WITH_RESERVE_MILLIS);
    }
    double withJitter = expectedMillis * (1 + RETRY_AFTER_JITTER * random.nextDouble());
    return Math.clamp((long) withJitter, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
  }

  /** Returns the expected time until capacity is free for a request behind those queued. */
  double expectedQueueMillis(PlacementRequest request, QueueAhead ahead, long nowMillis) {
    return request.getEngine()
        ? engineQueueMillis(request, ahead, nowMillis)
        : plainQueueMillis(request, ahead, nowMillis);
  }

  private double plainQueueMillis(PlacementRequest request, QueueAhead ahead, long nowMillis) {
    double millisPerRequest =
        plainMillisByService.getOrDefault(request.getService(), INITIAL_PLAIN_MILLIS);
    List<BackendState> servers = backends.notLeavingFor(request).toList();
    double requestsPerMilli =
        servers.stream()
            .mapToDouble(
                backend ->
                    Math.min(
                        plainRequestsPerMilli(backend, millisPerRequest, nowMillis),
                        limitPerMilli(backend, nowMillis)))
            .sum();
    return requestsPerMilli == 0
        ? UNKNOWN_SERVICE_TIMEOUT_MILLIS
        : Math.max(0, ahead.serviceRequests() + 1 - accruedRequests(servers, nowMillis))
            / requestsPerMilli;
  }

  private double plainRequestsPerMilli(BackendState backend, double averageMillis, long nowMillis) {
    OptionalDouble learntMillis = capacityView.fullPlainMillis(backend, nowMillis);
    double millisPerRequest =
        learntMillis.isPresent() ? LEARNT_PLAIN_MARGIN * learntMillis.getAsDouble() : averageMillis;
    return capacityView.usefulRequests(backend, nowMillis)
        / (millisPerRequest * capacityRules.capacityShares());
  }

  private double accruedRequests(List<BackendState> servers, long nowMillis) {
    return servers.stream()
        .mapToDouble(backend -> rateLimits.accruedRequests(backend.id(), nowMillis))
        .sum();
  }

  private double limitPerMilli(BackendState backend, long nowMillis) {
    return rateLimits.requestsPerSecond(backend.id(), nowMillis) / MILLIS_PER_SECOND;
  }

  /**
   * Engines with a stated limit are forecast apart from the others: they have capacity once their
   * rate allows the requests ahead, also if none of their memory becomes free until then.
   */
  private double engineQueueMillis(PlacementRequest request, QueueAhead ahead, long nowMillis) {
    double neededTokens = neededMemoryTokens(request) + ahead.memoryTokens();
    Map<Boolean, List<BackendState>> byLimited =
        backends
            .notLeavingFor(request)
            .collect(
                Collectors.partitioningBy(
                    backend -> Double.isFinite(limitPerMilli(backend, nowMillis))));
    List<BackendState> limited = byLimited.getOrDefault(true, List.of());
    List<BackendState> unlimited = byLimited.getOrDefault(false, List.of());
    if (limited.isEmpty()) {
      return releaseMillis(unlimited, neededTokens, ahead.fromPriority(), nowMillis);
    }
    double limitPerMilli =
        limited.stream().mapToDouble(backend -> limitPerMilli(backend, nowMillis)).sum();
    double limitedMillis =
        Math.max(0, ahead.requests() + 1 - accruedRequests(limited, nowMillis)) / limitPerMilli;
    if (!hasRoom(limited, request, nowMillis)) {
      limitedMillis =
          Math.max(
              limitedMillis, releaseMillis(limited, neededTokens, ahead.fromPriority(), nowMillis));
    }
    return unlimited.isEmpty()
        ? limitedMillis
        : Math.min(
            limitedMillis, releaseMillis(unlimited, neededTokens, ahead.fromPriority(), nowMillis));
  }

  private boolean hasRoom(List<BackendState> candidates, PlacementRequest request, long nowMillis) {
    EngineCapabilities engine = backends.engineOf(request.getService());
    return candidates.stream()
        .anyMatch(
            backend ->
                capacityRules.hasRoom(
                    backend,
                    engine,
                    neededMemoryTokens(request),
                    CapacityRules.MEMORY_SHARE,
                    nowMillis));
  }

  /** Returns the expected time until requests that end free the needed memory. */
  private double releaseMillis(
      List<BackendState> engines, double neededTokens, int fromPriority, long nowMillis) {
    double freedTokens = 0;
    List<Release> releases = expectedReleases(engines, fromPriority, nowMillis);
    for (Release release : releases) {
      freedTokens += release.tokens();
      if (freedTokens >= neededTokens) {
        return release.afterMillis();
      }
    }
    if (releases.isEmpty()) {
      return UNKNOWN_SERVICE_TIMEOUT_MILLIS;
    }
    double allReleasedMillis = releases.getLast().afterMillis();
    return features.reservesForUrgent()
        ? laterReleaseMillis(releases, freedTokens, neededTokens, allReleasedMillis)
        : allReleasedMillis;
  }

  /**
   * Returns the expected time until memory is free that what runs now does not release. Requests
   * that run next take the memory in the order in which it is released, and release it again after
   * as long as the last of those that run now.
   */
  private static double laterReleaseMillis(
      List<Release> releases, double freedTokens, double neededTokens, double periodMillis) {
    if (freedTokens <= 0) {
      return periodMillis;
    }
    double periods = Math.floor(neededTokens / freedTokens);
    double restTokens = neededTokens - periods * freedTokens;
    double restMillis = 0;
    for (Release release : releases) {
      if (restTokens <= 0) {
        break;
      }
      restTokens -= release.tokens();
      restMillis = release.afterMillis();
    }
    return periods * periodMillis + restMillis;
  }

  private List<Release> expectedReleases(
      List<BackendState> engines, int fromPriority, long nowMillis) {
    List<Release> releases = new ArrayList<>();
    for (BackendState engine : engines) {
      for (RunningRequest running : engine.requests.values()) {
        if (running.request.getPriority() >= fromPriority) {
          releases.add(
              new Release(remainingMillis(running, engine, nowMillis), running.memoryTokens()));
        }
      }
    }
    releases.sort(Comparator.comparingDouble(Release::afterMillis));
    return releases;
  }

  private double remainingMillis(RunningRequest running, BackendState engine, long nowMillis) {
    double promptMillis =
        running.pendingPromptTokens() * speeds.millisPerPromptToken(running.request.getService());
    return speeds.remainingOutputMillis(running) * capacityView.outputFactor(engine, nowMillis)
        + capacityView.promptMillis(engine, promptMillis, nowMillis);
  }

  /** Returns the memory that a request must find free to be placed. */
  double neededMemoryTokens(PlacementRequest request) {
    return RunningRequest.memoryTokens(request.getPromptTokens(), outputTokens(request));
  }
}
