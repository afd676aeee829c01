package org.curranthaven.internal.dispatch;

import java.util.OptionalDouble;
import java.util.random.RandomGenerator;
import org.curranthaven.internal.catalog.EngineCapabilities;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.jspecify.annotations.Nullable;

/**
 * Rates the backend servers that have capacity for a request, in prompt tokens that the request
 * would wait for; the lowest cost is chosen. Not thread-safe.
 */
final class PlacementCost {
  /** Cost of a fully used memory or of a fully loaded plain backend server, in prompt tokens. */
  private static final double MEMORY_WEIGHT_TOKENS = 2_500;

  /** Cost of a backend server that is still warming up, in prompt tokens. */
  private static final double WARM_UP_WEIGHT_TOKENS = 4_000;

  /**
   * Cost of each forecast output token on an engine that takes twice the average time for it, in
   * prompt tokens. A stream that ends earlier is exposed to fewer losses and frees its memory.
   */
  private static final double SLOWNESS_WEIGHT = 5;

  /** Cost of another data centre, in prompt tokens. */
  private static final double OTHER_DATA_CENTRE_WEIGHT_TOKENS = 30;

  /**
   * Maximum random cost of an engine in local fallback, in prompt tokens. Hosts do not know each
   * other's placements then, and would otherwise all choose the same engine.
   */
  private static final double LOCAL_JITTER_TOKENS = 3_000;

  /**
   * Cost of an engine on which the longest pause of a stream is expected to be twice its target, in
   * prompt tokens; above the other costs, since no other figure makes up for a late stream.
   */
  private static final double PAUSE_WEIGHT_TOKENS = 20_000;

  /** Excess of a pause over its target beyond which more of it makes no difference. */
  private static final double MAX_PAUSE_EXCESS = 3;

  private final EngineSpeeds speeds;
  private final ColdServers coldServers;
  private final CapacityView capacityView;
  private final RandomGenerator random;
  private final boolean localFallback;
  private final boolean prefersCachedPrompts;

  /**
   * Creates a rating.
   *
   * @param coldServers backend servers whose cold time limits their rate; the limit alone protects
   *     them, so that they are used up to it
   * @param localFallback whether other hosts place requests on the same engines unknown to this one
   * @param prefersCachedPrompts whether engines that may have cached the prompt's parts cost less
   */
  PlacementCost(
      EngineSpeeds speeds,
      ColdServers coldServers,
      CapacityView capacityView,
      RandomGenerator random,
      boolean localFallback,
      boolean prefersCachedPrompts) {
    this.speeds = speeds;
    this.coldServers = coldServers;
    this.capacityView = capacityView;
    this.random = random;
    this.localFallback = localFallback;
    this.prefersCachedPrompts = prefersCachedPrompts;
  }

  /**
   * Returns the cost of running the request on the backend server.
   *
   * @param engine capabilities of the service's engines; null for a plain service
   * @param outputTokens forecast output length; 0 for a plain service
   */
  double of(
      BackendState backend,
      @Nullable EngineCapabilities engine,
      PlacementRequest request,
      int outputTokens,
      long nowMillis) {
    boolean sameDataCentre = request.getDataCentre().equals(backend.registration().getDataCentre());
    double commonCost =
        (sameDataCentre ? 0 : OTHER_DATA_CENTRE_WEIGHT_TOKENS) + warmUpCost(backend, nowMillis);
    if (engine == null) {
      return commonCost + plainCost(backend, nowMillis) + random.nextDouble();
    }
    double memoryUsed = backend.memoryTokens() / Math.max(1, engine.memoryTokens());
    double slownessCost = SLOWNESS_WEIGHT * outputTokens * speeds.relativeSlowness(backend);
    double jitter = localFallback ? LOCAL_JITTER_TOKENS * random.nextDouble() : 0;
    return commonCost
        + promptCost(backend, request, nowMillis)
        + pauseCost(backend, engine, request, outputTokens, nowMillis)
        + memoryUsed * MEMORY_WEIGHT_TOKENS
        + slownessCost
        + jitter
        - cachedTokens(backend, request);
  }

  private double warmUpCost(BackendState backend, long nowMillis) {
    boolean unprotected =
        backend.isWarmingUp(nowMillis) && !coldServers.isLimited(backend.id(), nowMillis);
    return unprotected ? WARM_UP_WEIGHT_TOKENS : 0;
  }

  private double plainCost(BackendState backend, long nowMillis) {
    OptionalDouble learnt = capacityView.plainCost(backend, nowMillis);
    if (learnt.isEmpty()) {
      double load = (double) backend.requests.size() / backend.slots();
      return load * MEMORY_WEIGHT_TOKENS;
    }
    // Hosts do not know each other's placements in local fallback, and would otherwise all choose
    // the server with the best figures.
    double jitter = localFallback ? 1 + random.nextDouble() : 1;
    return MEMORY_WEIGHT_TOKENS * learnt.getAsDouble() * jitter;
  }

  /** Returns the prompt tokens that an average engine processes in the time until the reply. */
  private double promptCost(BackendState backend, PlacementRequest request, long nowMillis) {
    int pendingTokens = backend.pendingPromptTokens();
    if (!capacityView.isActive(backend.service())) {
      return pendingTokens;
    }
    double millisPerToken = speeds.millisPerPromptToken(backend.service());
    double averageMillis = (pendingTokens + request.getPromptTokens()) * millisPerToken;
    return capacityView.promptMillis(backend, averageMillis, nowMillis) / millisPerToken;
  }

  private double pauseCost(
      BackendState backend,
      EngineCapabilities engine,
      PlacementRequest request,
      int outputTokens,
      long nowMillis) {
    double excess = capacityView.pauseExcess(backend, engine, request, outputTokens, nowMillis);
    return PAUSE_WEIGHT_TOKENS * Math.min(MAX_PAUSE_EXCESS, excess);
  }

  private int cachedTokens(BackendState backend, PlacementRequest request) {
    return prefersCachedPrompts
        ? backend.promptPartCache.cachedPrefixTokens(request.getPartsList())
        : 0;
  }
}
