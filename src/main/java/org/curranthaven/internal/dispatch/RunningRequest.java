package org.curranthaven.internal.dispatch;

import org.curranthaven.internal.transport.wire.PlacementRequest;

/** A request that runs on a backend server, as the scheduler sees it. Not thread-safe. */
final class RunningRequest {
  /**
   * Share of the output still forecast that counts as memory in use; below 1, since requests end at
   * different times and do not all reach their full size together.
   */
  private static final double RESERVED_GROWTH_SHARE = 0.4;

  /** Factor by which an output that exceeded its forecast is expected to grow further. */
  private static final double OVERRUN_FACTOR = 1.25;

  /** Further growth expected of such an output, in tokens, added to that of the factor. */
  private static final int OVERRUN_TOKENS = 32;

  /**
   * Time from the first reported output after which output counts as continued; below the interval
   * at which gateways report it, and several times longer than an engine takes to crash on it.
   */
  static final long CONTINUED_OUTPUT_MILLIS = 400;

  final RequestId id;
  final PlacementRequest request;
  final long placedAtMillis;
  private final int forecastTokens;
  private final double growthShare;
  private int outputTokens;

  /** When output was first reported; 0 if not yet. */
  private long firstOutputAtMillis;

  /** When output was last reported; 0 if not yet. */
  private long progressedAtMillis;

  /** Prompt tokens to process before the first output, including this request's; 0 if unknown. */
  int promptTokensToFirstReply;

  /** Requests on the backend server when this one was placed, including it; 0 if unknown. */
  int requestsAtPlacement;

  /**
   * Integral of the machine's slowness up to the placement or the last output, as {@link
   * PresentSlowness#elapsedSlowedMillis} states it; NaN if unknown.
   */
  double slowedMillisMark = Double.NaN;

  /** Whether the request is being migrated away from this engine. */
  boolean migratingAway;

  /** Whether the request is being migrated to this engine. */
  boolean migratingIn;

  int migrationAttempts;

  /** Whether another host placed the request, at an earlier time than the recorded one. */
  boolean restored;

  /** Engine that keeps the backup copy; empty for none. */
  String backup = "";

  /**
   * Creates a request without output.
   *
   * @param reservesGrowth whether memory for output still to come counts as in use
   */
  RunningRequest(
      RequestId id,
      PlacementRequest request,
      int forecastTokens,
      boolean reservesGrowth,
      long placedAtMillis) {
    this.id = id;
    this.request = request;
    this.forecastTokens = forecastTokens;
    this.growthShare = reservesGrowth ? RESERVED_GROWTH_SHARE : 0;
    this.placedAtMillis = placedAtMillis;
  }

  /** Returns the same request as it will run on the target of its migration. */
  RunningRequest migrated(long nowMillis) {
    RunningRequest incoming =
        new RunningRequest(id, request, remainingTokens(), growthShare > 0, nowMillis);
    incoming.outputProgressed(outputTokens);
    incoming.migratingIn = true;
    return incoming;
  }

  void outputProgressed(int tokens) {
    outputTokens = Math.max(outputTokens, tokens);
  }

  /** Records output, and what it tells about the speed of the engine. */
  void outputProgressed(int tokens, BackendState engine, long nowMillis, EngineSpeeds speeds) {
    if (tokens <= outputTokens) {
      return;
    }
    String service = request.getService();
    if (outputTokens == 0) {
      firstOutputAtMillis = nowMillis;
      speeds.recordPrompts(service, promptTokensToFirstReply, nowMillis - placedAtMillis);
    } else if (progressedAtMillis > 0) {
      speeds.recordOutput(engine, tokens - outputTokens, nowMillis - progressedAtMillis);
    }
    progressedAtMillis = nowMillis;
    outputTokens = tokens;
  }

  int outputTokens() {
    return outputTokens;
  }

  /** Returns when output was last reported; 0 if not yet. */
  long progressedAtMillis() {
    return progressedAtMillis;
  }

  /** Returns whether output has continued well beyond its beginning, at which engines may crash. */
  boolean hasContinuedOutput() {
    // Without the time of the first output, the output was produced on another engine.
    return outputTokens > 0
        && (firstOutputAtMillis == 0
            || progressedAtMillis - firstOutputAtMillis >= CONTINUED_OUTPUT_MILLIS);
  }

  /** Returns the prompt tokens that the engine has yet to process; 0 after the first output. */
  int pendingPromptTokens() {
    return outputTokens > 0 ? 0 : request.getPromptTokens();
  }

  /** Returns the forecast number of output tokens still to come. */
  int remainingTokens() {
    if (outputTokens < forecastTokens) {
      return forecastTokens - outputTokens;
    }
    int expected = (int) (outputTokens * OVERRUN_FACTOR) + OVERRUN_TOKENS;
    int limit = request.getMaxOutputTokens() > 0 ? request.getMaxOutputTokens() : expected;
    return Math.max(0, Math.min(expected, limit) - outputTokens);
  }

  /** Returns the memory to reserve for a request without output, in tokens. */
  static double memoryTokens(int promptTokens, int forecastTokens) {
    return promptTokens + RESERVED_GROWTH_SHARE * forecastTokens;
  }

  /** Returns the memory that the request is forecast to use at its end, in tokens. */
  double finalMemoryTokens() {
    return (double) request.getPromptTokens() + outputTokens + remainingTokens();
  }

  /** Returns the memory to reserve for the request, in tokens. */
  double memoryTokens() {
    return request.getPromptTokens() + outputTokens + growthShare * remainingTokens();
  }
}
