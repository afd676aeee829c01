package org.curranthaven.internal.relay;

import org.curranthaven.internal.catalog.Repeatability;
import org.curranthaven.internal.catalog.Route;

/**
 * How far a call has come: the events passed on, and the times by which it is told whether the
 * route's targets were kept. Used on the event loop only.
 */
final class RequestProgress {
  private final Route route;
  private final long arrivedAtMillis;
  private final int tokensPerEvent;
  private String lastEventId;
  private int eventCount;
  private long sentAtMillis;
  private long firstReplyAtMillis;
  private long lastReplyAtMillis;
  private long longestPauseMillis;
  private int migrations;

  /**
   * Begins with a call's arrival.
   *
   * @param lastEventId last event that the caller has from an earlier call; empty for none
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

  int outputTokens() {
    return eventCount * tokensPerEvent;
  }

  /** Notes that the call was sent to a backend server. */
  void recordSent(long nowMillis) {
    if (sentAtMillis == 0) {
      sentAtMillis = nowMillis;
    }
    lastReplyAtMillis = nowMillis;
  }

  void recordMigration() {
    migrations++;
  }

  /** Notes that a part of the answer came. */
  void recordReply(long nowMillis) {
    if (firstReplyAtMillis == 0) {
      firstReplyAtMillis = nowMillis;
    } else {
      longestPauseMillis = Math.max(longestPauseMillis, nowMillis - lastReplyAtMillis);
    }
    lastReplyAtMillis = nowMillis;
  }

  /** Returns the time since the last part of the answer, or since the sending. */
  long pauseMillis(long nowMillis) {
    return nowMillis - lastReplyAtMillis;
  }

  /** Notes an event; returns whether the caller does not have it yet. */
  boolean recordIfNew(EventSplitter.Event event) {
    if (event.id().isEmpty()) {
      return true;
    }
    boolean repeated = !lastEventId.isEmpty() && compareIds(event.id(), lastEventId) <= 0;
    if (!repeated) {
      lastEventId = event.id();
      eventCount++;
    }
    return !repeated;
  }

  private static int compareIds(String a, String b) {
    return a.length() == b.length() ? a.compareTo(b) : Integer.compare(a.length(), b.length());
  }

  /** Returns the time from the arrival to the first part of the answer; 0 before it. */
  long firstReplyMillis() {
    return firstReplyAtMillis == 0 ? 0 : firstReplyAtMillis - arrivedAtMillis;
  }

  /** Returns whether the call missed a target of its route. */
  boolean isLate() {
    boolean pausedLong =
        route.kind() == Repeatability.STREAM
            && route.gapTargetMillis() > 0
            && longestPauseMillis > route.gapTargetMillis();
    return pausedLong || firstReplyMillis() > route.targetMillis();
  }

  /** Returns where the time went, for a log line. */
  String timingSummary() {
    long waited = sentAtMillis == 0 ? 0 : sentAtMillis - arrivedAtMillis;
    return String.format(
        "first reply after %d ms (due after %d), %d of them waiting; longest pause %d ms (at most"
            + " %d); %d moves; %d tokens",
        firstReplyMillis(),
        route.targetMillis(),
        waited,
        longestPauseMillis,
        route.gapTargetMillis(),
        migrations,
        outputTokens());
  }
}
