package org.curranthaven.internal.dispatch;

import java.util.OptionalDouble;
import org.curranthaven.internal.catalog.EngineCapabilities;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.jspecify.annotations.Nullable;

/**
 * What the decisions of a {@link DispatchCore} read of {@link ServerCapacities}, and what they
 * teach it. Everything is without effect for services whose backend servers do not state how slow
 * their machines are. Not thread-safe.
 */
final class CapacityView {
  /** Prompt tokens that an engine processes at most between two output tokens of its streams. */
  private static final int PROMPT_CHUNK_TOKENS = 112;

  /** Cost of a server of which nothing is known, compared with one of the same figures. */
  private static final double UNKNOWN_SERVER_COST = 1.5;

  /** Excess of a server's share of failures over its service's that counts as random. */
  private static final double RANDOM_FAILURE_SHARE = 0.15;

  /** Smallest share of successes that is reckoned with, which bounds the cost of a server. */
  private static final double MIN_SUCCESS_SHARE = 0.05;

  /**
   * Duration of a stream above which it meets slow phases of its engine's machine, whatever the
   * engine states when the stream begins.
   */
  private static final double LONG_STREAM_MILLIS = PresentSlowness.FRESH_MILLIS;

  /** Factor of slowness up to which a machine counts as about as fast as usual. */
  private static final double USUAL_FACTOR = 1.2;

  private final ServerCapacities capacities;
  private final int capacityShares;
  private final boolean enabled;

  /**
   * Creates a view.
   *
   * @param capacityShares number of hosts that each place requests on the same backend servers
   * @param enabled whether anything is learnt and read
   */
  CapacityView(ServerCapacities capacities, int capacityShares, boolean enabled) {
    this.capacities = capacities;
    this.capacityShares = Math.max(1, capacityShares);
    this.enabled = enabled;
  }

  /** Returns whether placement goes by the capacity of each server of the service. */
  boolean isActive(String service) {
    return enabled && capacities.isActive(service);
  }

  private @Nullable ServerCapacity of(BackendState backend, long nowMillis) {
    return enabled ? capacities.ofActive(backend, nowMillis) : null;
  }

  // ---- learning ---------------------------------------------------------------------------------

  /** Records that a request was placed on the backend server, whose requests contain it. */
  void recordPlacement(RunningRequest running, BackendState backend, long nowMillis) {
    ServerCapacity capacity = of(backend, nowMillis);
    if (capacity != null) {
      running.requestsAtPlacement = backend.requests.size();
      running.slowedMillisMark = capacity.slowness().elapsedSlowedMillis(nowMillis);
    }
  }

  /**
   * Learns from the output that a running request produced since it was last reported.
   *
   * @param outputTokens number of tokens output so far, which the request does not know yet
   */
  void recordOutput(
      RunningRequest running, BackendState backend, int outputTokens, long nowMillis) {
    ServerCapacity capacity = of(backend, nowMillis);
    int newTokens = outputTokens - running.outputTokens();
    if (capacity == null || newTokens <= 0) {
      return;
    }
    boolean first = running.outputTokens() == 0;
    long sinceMillis = first ? running.placedAtMillis : running.progressedAtMillis();
    OptionalDouble usualMillis = takeUsualMillis(running, capacity, sinceMillis, nowMillis);
    boolean startUnknown = !first && sinceMillis == 0;
    if (usualMillis.isEmpty() || startUnknown) {
      return;
    }
    if (!first) {
      int requests = backend.requests.size() * capacityShares;
      capacity.recordWork(requests, usualMillis.getAsDouble() / newTokens, nowMillis);
    } else if (running.promptTokensToFirstReply > 0) {
      capacity.recordPrompt(
          usualMillis.getAsDouble() / running.promptTokensToFirstReply, nowMillis);
    }
  }

  /** Learns from a request that was answered. */
  void recordAnswer(
      RunningRequest running, BackendState backend, int outputTokens, long nowMillis) {
    ServerCapacity capacity = of(backend, nowMillis);
    if (capacity == null) {
      return;
    }
    capacity.recordOutcome(false, nowMillis);
    if (running.request.getEngine()) {
      recordOutput(running, backend, outputTokens, nowMillis);
      return;
    }
    OptionalDouble usualMillis =
        takeUsualMillis(running, capacity, running.placedAtMillis, nowMillis);
    if (usualMillis.isPresent()) {
      int requests = running.requestsAtPlacement * capacityShares;
      recordPlain(capacity, running, requests, usualMillis.getAsDouble(), nowMillis);
    }
  }

  /** Counts the request as an average one, so that a server with long requests is not slow. */
  private static void recordPlain(
      ServerCapacity capacity,
      RunningRequest running,
      int requests,
      double usualMillis,
      long nowMillis) {
    double serverFactor = capacity.relativeMillisAt(requests, nowMillis);
    double routeFactor =
        capacity.service().learnRouteFactor(running.request.getRoute(), usualMillis / serverFactor);
    capacity.recordWork(requests, usualMillis / routeFactor, nowMillis);
  }

  /** Learns from a request that failed on its backend server. */
  void recordFailure(BackendState backend, long nowMillis) {
    ServerCapacity capacity = of(backend, nowMillis);
    if (capacity != null) {
      capacity.recordOutcome(true, nowMillis);
    }
  }

  /**
   * Returns the time since a given time as it would have been on a machine that is as fast as
   * usual; empty if what the server stated since then is not known here.
   */
  private static OptionalDouble takeUsualMillis(
      RunningRequest running, ServerCapacity capacity, long sinceMillis, long nowMillis) {
    double mark = running.slowedMillisMark;
    double slowedMillis = capacity.slowness().elapsedSlowedMillis(nowMillis);
    running.slowedMillisMark = slowedMillis;
    double elapsedMillis = nowMillis - sinceMillis;
    if (Double.isNaN(mark) || elapsedMillis <= 0) {
      return OptionalDouble.empty();
    }
    // The response that ends the time states how slow the machine is; it is the first to tell of a
    // phase that began since the request was placed.
    double averageFactor = (slowedMillis - mark) / elapsedMillis;
    double presentFactor = capacity.slowness().factor(nowMillis);
    boolean ofAnotherServer =
        averageFactor < PresentSlowness.MIN_FACTOR || averageFactor > PresentSlowness.MAX_FACTOR;
    // Requests pile up in slow phases. Learnt from, these would look like a server with a low knee.
    boolean slowPhase = Math.max(averageFactor, presentFactor) > USUAL_FACTOR;
    boolean learnt = capacity.certainty(nowMillis) >= 1;
    return ofAnotherServer || (slowPhase && learnt)
        ? OptionalDouble.empty()
        : OptionalDouble.of(elapsedMillis / ((averageFactor + presentFactor) / 2));
  }

  // ---- plain servers ----------------------------------------------------------------------------

  /**
   * Returns the cost of a further request on a plain backend server: its expected time, compared
   * with the service's average, and growing with the load so that equal servers share equally.
   * Empty if placement does not go by capacity for the service.
   */
  OptionalDouble plainCost(BackendState backend, long nowMillis) {
    ServerCapacity capacity = of(backend, nowMillis);
    if (capacity == null) {
      return OptionalDouble.empty();
    }
    double requests = backend.requests.size() * (double) capacityShares + 1;
    LoadCurve curve = capacity.curve(nowMillis);
    double workMillis = curve.millisAt(requests);
    double slowedMillis = capacity.slowness().slowedMillis(workMillis, nowMillis);
    double averageMillis = capacity.service().curve(backend.slots(), nowMillis).lightMillis();
    double load = requests / capacity.usefulRequests(nowMillis);
    double caution =
        UNKNOWN_SERVER_COST - (UNKNOWN_SERVER_COST - 1) * capacity.certainty(nowMillis);
    return OptionalDouble.of(
        slowedMillis / averageMillis * (1 + load) * caution * failureFactor(capacity, nowMillis));
  }

  private static double failureFactor(ServerCapacity capacity, long nowMillis) {
    double ofServer = capacity.failureShare(nowMillis);
    double ofService = capacity.service().failureShare();
    return ofServer <= ofService + RANDOM_FAILURE_SHARE
        ? 1
        : (1 - ofService) / Math.max(MIN_SUCCESS_SHARE, 1 - ofServer);
  }

  /**
   * Returns the number of concurrent requests at which a plain backend server has its highest
   * throughput.
   */
  int usefulRequests(BackendState backend, long nowMillis) {
    ServerCapacity capacity = of(backend, nowMillis);
    return capacity == null ? backend.slots() : capacity.usefulRequests(nowMillis);
  }

  /**
   * Returns the time that a plain backend server takes for a request while it is fully used, slow
   * phases to come included; empty if placement does not go by capacity.
   */
  OptionalDouble fullPlainMillis(BackendState backend, long nowMillis) {
    ServerCapacity capacity = of(backend, nowMillis);
    if (capacity == null) {
      return OptionalDouble.empty();
    }
    double usualMillis = capacity.curve(nowMillis).millisAt(capacity.usefulRequests(nowMillis));
    double slowness =
        Math.max(capacity.service().averageSlowness(), capacity.slowness().factor(nowMillis));
    return OptionalDouble.of(usualMillis * slowness);
  }

  // ---- engines ----------------------------------------------------------------------------------

  /** Returns the time that the engine takes now for prompts that take an average one this long. */
  double promptMillis(BackendState backend, double averageMillis, long nowMillis) {
    ServerCapacity capacity = of(backend, nowMillis);
    if (capacity == null) {
      return averageMillis;
    }
    double relative = capacity.promptMillis(nowMillis) / capacity.service().promptMillis();
    return capacity.slowness().slowedMillis(averageMillis * relative, nowMillis);
  }

  /** Returns by what factor the engine takes longer for output than its service on average. */
  double outputFactor(BackendState backend, long nowMillis) {
    ServerCapacity capacity = of(backend, nowMillis);
    return capacity == null
        ? 1
        : capacity.relativeMillisAt(backend.requests.size() * capacityShares, nowMillis);
  }

  /**
   * Returns by what share of the target the longest pause between events of a stream on the engine
   * is expected to exceed it; 0 if the target is kept, if there is none, or if placement does not
   * go by capacity.
   *
   * @param outputTokens forecast number of tokens of the stream
   */
  double pauseExcess(
      BackendState backend,
      EngineCapabilities engine,
      PlacementRequest request,
      int outputTokens,
      long nowMillis) {
    ServerCapacity capacity = of(backend, nowMillis);
    if (capacity == null || request.getGapTargetMillis() == 0) {
      return 0;
    }
    double pauseMillis = longestPauseMillis(capacity, backend, engine, outputTokens, nowMillis);
    return Math.max(0, pauseMillis / request.getGapTargetMillis() - 1);
  }

  private double longestPauseMillis(
      ServerCapacity capacity,
      BackendState backend,
      EngineCapabilities engine,
      int outputTokens,
      long nowMillis) {
    LoadCurve curve = capacity.curve(nowMillis);
    double requests = backend.requests.size() * (double) capacityShares + 1;
    double stepMillis = curve.millisAt(requests);
    // The time for a chunk of prompts contains the step in which it is processed.
    double chunkMillis = PROMPT_CHUNK_TOKENS * capacity.promptMillis(nowMillis);
    double stepWithChunkMillis =
        Math.max(stepMillis, chunkMillis + stepMillis - curve.lightMillis());
    boolean isLong = outputTokens * stepMillis > LONG_STREAM_MILLIS;
    PresentSlowness slowness = capacity.slowness();
    double factor =
        isLong
            ? Math.max(slowness.factor(nowMillis), slowness.peakFactor(nowMillis))
            : slowness.factor(nowMillis);
    double usualMillis =
        isLong || backend.pendingPromptTokens() > 0 ? stepWithChunkMillis : stepMillis;
    return engine.tokensPerEvent() * usualMillis * factor;
  }
}
