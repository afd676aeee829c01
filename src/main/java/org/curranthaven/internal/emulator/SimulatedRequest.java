package org.curranthaven.internal.emulator;

import java.util.LinkedHashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** A request of an emulated caller over all its attempts. Not thread-safe. */
final class SimulatedRequest {
  private final Arrival arrival;
  private final String name;
  private final Set<String> excluded = new LinkedHashSet<>();

  /** Id of the present placement request. */
  long placementId;

  int urgency;

  /** Times that the caller has come back after a rejection. */
  int returns;

  /** Backend servers that ran the present attempt. */
  int executions;

  /** Whether a backend server has received the present attempt. */
  boolean received;

  /** When the present attempt of the caller arrived. */
  long attemptAtMillis;

  /** When the request was first placed; negative while it was not. */
  long firstPlacedAtMillis = -1;

  /** When the first event reached the caller; negative until then. */
  long firstReplyAtMillis = -1;

  long lastEventAtMillis;
  long longestPauseMillis;
  int migrations;
  boolean finished;
  @Nullable EmulatedEngine engine;

  /** Engine that keeps the backup copy; null for none. */
  @Nullable EmulatedEngine backup;

  /** When the backup copy of the prompt is complete. */
  long backupReadyAtMicros = Long.MAX_VALUE;

  /** Engine that the request is being migrated to; null if it is not. */
  @Nullable EmulatedEngine migrationTarget;

  private int outputTokens;

  SimulatedRequest(Arrival arrival, long number) {
    this.arrival = arrival;
    this.name = "request-" + number;
  }

  Arrival arrival() {
    return arrival;
  }

  String generation() {
    return name;
  }

  Set<String> excluded() {
    return excluded;
  }

  int outputTokens() {
    return outputTokens;
  }

  void setOutputTokens(int tokens) {
    outputTokens = tokens;
  }

  /** Returns the tokens of state that a running request holds. */
  int stateTokens() {
    return arrival.promptTokens() + outputTokens;
  }

  /** Records an event that reached the caller. */
  void recordEvent(long nowMillis) {
    if (firstReplyAtMillis < 0) {
      firstReplyAtMillis = nowMillis;
    } else {
      longestPauseMillis = Math.max(longestPauseMillis, nowMillis - lastEventAtMillis);
    }
    lastEventAtMillis = nowMillis;
  }

  boolean firstReplyIsLate() {
    return firstReplyAtMillis - arrival.atMillis() > arrival.kind().targetMillis();
  }

  boolean pauseIsTooLong() {
    long gapTargetMillis = arrival.kind().gapTargetMillis();
    return gapTargetMillis > 0 && longestPauseMillis > gapTargetMillis;
  }
}
