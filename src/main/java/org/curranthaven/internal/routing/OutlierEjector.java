package org.curranthaven.internal.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Takes servers out of use that fail differently from their peers, never more than a bounded share
 * of them, each for a time that doubles when it fails again. Not thread-safe.
 */
public final class OutlierEjector {
  /** Failures without a success between them after which a server is ejected. */
  static final int CONSECUTIVE_FAILURES_TO_EJECT = 3;

  /** Largest share of servers that may be out at once. */
  static final double MAX_EJECTED_SHARE = 0.34;

  /** First time out, in milliseconds. */
  static final long FIRST_EJECTION_MILLIS = 2_000;

  /** Longest time out, in milliseconds. */
  static final long MAX_EJECTION_MILLIS = 60_000;

  private final Map<String, FailureHistory> historyByBackend = new HashMap<>();

  private static final class FailureHistory {
    int consecutiveFailures;
    int ejections;
    long ejectedUntilMillis;
  }

  public void recordSuccess(String server) {
    FailureHistory record = historyByBackend.get(server);
    if (record != null) {
      record.consecutiveFailures = 0;
      record.ejections = Math.max(0, record.ejections - 1);
    }
  }

  public void recordFailure(String server, Collection<String> peers, long nowMillis) {
    FailureHistory record = historyByBackend.computeIfAbsent(server, name -> new FailureHistory());
    record.consecutiveFailures++;
    long ejected = peers.stream().filter(peer -> isEjected(peer, nowMillis)).count();
    boolean mayEject = (ejected + 1) <= Math.max(1, MAX_EJECTED_SHARE * peers.size());
    if (record.consecutiveFailures >= CONSECUTIVE_FAILURES_TO_EJECT
        && mayEject
        && peers.size() > 1) {
      long length = FIRST_EJECTION_MILLIS << Math.min(record.ejections, 10);
      record.ejectedUntilMillis = nowMillis + Math.min(length, MAX_EJECTION_MILLIS);
      record.ejections++;
      record.consecutiveFailures = 0;
    }
  }

  public boolean isEjected(String server, long nowMillis) {
    FailureHistory record = historyByBackend.get(server);
    return record != null && nowMillis < record.ejectedUntilMillis;
  }

  /** Returns when the server last came back into use; 0 when it was never out. */
  public long lastEjectionEndMillis(String server) {
    FailureHistory record = historyByBackend.get(server);
    return record == null ? 0 : record.ejectedUntilMillis;
  }

  public void remove(String server) {
    historyByBackend.remove(server);
  }
}
