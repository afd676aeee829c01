package org.curranthaven.internal.relay;

import org.curranthaven.internal.catalog.Repeatability;
import org.curranthaven.internal.catalog.Route;

/**
 * Progress of a request: the events forwarded so far, and the times that show whether the targets
 * of the route were met. Confined to the event loop.
 */
final class RequestProgress {
  private final Route route;
  private final long arrivedAtMillis;
  private final int tokensPerEvent;
  private String lastEventId;
  private int eventCount;
  private long firstSentAtMillis;
  private long firstReplyAtMillis;
  private long pauseStartMillis;
  private long longestPauseMillis;
  private int migrations;

  /**
   * Creates the progress of a request that has just arrived.
   *
   * @param lastEventId id of the last event that the caller has from an earlier request; empty for
   *     none
   */
  RequestProgress(Route route, int tokensPerEvent, String lastEventId, long arrivedAtMillis) {
    this.route = route;
    this.tokensPerEvent = tokensPerEvent;
    this.lastEventId = lastEventId;
    this.arrivedAtMillis = arrivedAtMillis;
  }

  long arrivedAtMillis() {
    return arrivedAtMillis;
  }

  String lastEventId() {
    return lastEventId;
  }

  /** Returns whether an event with an id was received that the caller did not have before. */
  boolean hasEvents() {
    return eventCount > 0;
  }

  int outputTokens() {
    return eventCount * tokensPerEvent;
  }

  /** Records the transmission of the request to a backend server. */
  void recordSent(long nowMillis) {
    if (firstSentAtMillis == 0) {
      firstSentAtMillis = nowMillis;
    }
    pauseStartMillis = nowMillis;
  }

  void recordMigration() {
    migrations++;
  }

  /** Records the receipt of part of the response. */
  void recordReply(long nowMillis) {
    if (firstReplyAtMillis == 0) {
      firstReplyAtMillis = nowMillis;
    } else {
      longestPauseMillis = Math.max(longestPauseMillis, nowMillis - pauseStartMillis);
    }
    pauseStartMillis = nowMillis;
  }

  /** Returns whether any part of the response has been received. */
  boolean hasReply() {
    return firstReplyAtMillis != 0;
  }

  /** Returns the time since the last part of the response, or since the last transmission. */
  long pauseMillis(long nowMillis) {
    return nowMillis - pauseStartMillis;
  }

  /**
   * Records an event unless the caller already has it; returns whether the event is new to the
   * caller. An event without id is always new, and is not counted.
   */
  boolean recordIfNew(EventSplitter.Event event) {
    if (event.id().isEmpty()) {
      return true;
    }
    boolean alreadyReceived = !lastEventId.isEmpty() && compareIds(event.id(), lastEventId) <= 0;
    if (!alreadyReceived) {
      lastEventId = event.id();
      eventCount++;
    }
    return !alreadyReceived;
  }

  /** Compares event ids as whole numbers without leading zeros. */
  private static int compareIds(String a, String b) {
    return a.length() == b.length() ? a.compareTo(b) : Integer.compare(a.length(), b.length());
  }

  /**
   * Returns the time from the arrival to the first part of the response; 0 until it is received.
   */
  long firstReplyMillis() {
    return firstReplyAtMillis == 0 ? 0 : firstReplyAtMillis - arrivedAtMillis;
  }

  /** Returns whether the response missed a target of the route; false until its first part. */
  boolean isLate() {
    boolean pauseTooLong =
        route.kind() == Repeatability.STREAM
            && route.gapTargetMillis() > 0
            && longestPauseMillis > route.gapTargetMillis();
    return pauseTooLong || firstReplyMillis() > route.targetMillis();
  }

  /** Returns a summary of the times, for a log line. */
  String timingSummary() {
    long queuedMillis = firstSentAtMillis == 0 ? 0 : firstSentAtMillis - arrivedAtMillis;
    return String.format(
        "first reply after %d ms (target %d ms), %d ms of them queued; longest pause %d ms (target"
            + " %d ms); %d migrations; %d output tokens",
        firstReplyMillis(),
        route.targetMillis(),
        queuedMillis,
        longestPauseMillis,
        route.gapTargetMillis(),
        migrations,
        outputTokens());
  }
}
