package org.curranthaven.internal.dispatch;

import org.curranthaven.internal.transport.wire.PlacementRequest;

/** A call that runs on a backend server, as the scheduler sees it. Not thread-safe. */
final class RunningRequest {
  /** Part of an output's forecast rest that counts as used: outputs end at different times. */
  private static final double RESERVED_GROWTH_SHARE = 0.6;

  /** Factor by which an output that outgrew its forecast is expected to grow on. */
  private static final double OVERRUN_FACTOR = 1.25;

  private static final int OVERRUN_TOKENS = 32;

  final RequestId id;
  final PlacementRequest request;
  final long placedAtMillis;
  private final int forecastTokens;
  private int outputTokens;

  /** Prompt tokens to be read until the first output, this call's own included; 0: not known. */
  int promptTokensToFirstReply;

  /** Whether the call is being moved away from here. */
  boolean migratingAway;

  /** Whether the call is being moved to here. */
  boolean migratingIn;

  int migrationAttempts;

  /** Backend server that keeps a copy; empty for none. */
  String backup = "";

  RunningRequest(RequestId key, PlacementRequest ask, int forecastTokens, long placedAtMillis) {
    this.id = key;
    this.request = ask;
    this.forecastTokens = forecastTokens;
    this.placedAtMillis = placedAtMillis;
  }

  void outputProgressed(int tokens) {
    outputTokens = Math.max(outputTokens, tokens);
  }

  int outputTokens() {
    return outputTokens;
  }

  /** Returns the tokens of the prompt that the backend server has still to read. */
  int pendingPromptTokens() {
    return outputTokens > 0 ? 0 : request.getPromptTokens();
  }

  /** Returns the output tokens still to come, as forecast. */
  int remainingTokens() {
    if (outputTokens < forecastTokens) {
      return forecastTokens - outputTokens;
    }
    int grown = (int) (outputTokens * OVERRUN_FACTOR) + OVERRUN_TOKENS;
    int most = request.getMaxOutputTokens() > 0 ? request.getMaxOutputTokens() : grown;
    return Math.max(0, Math.min(grown, most) - outputTokens);
  }

  /** Returns the memory that the call is counted with, in tokens. */
  double memoryTokens() {
    return request.getPromptTokens() + outputTokens + RESERVED_GROWTH_SHARE * remainingTokens();
  }
}
