package org.curranthaven.internal.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Outlier detection: temporarily ejects backend servers that fail several times in a row, at most a
 * bounded share of the peers at once. The duration doubles with each further ejection. Not
 * thread-safe.
 */
public final class OutlierEjector {
  /** Consecutive failures after which a backend server is ejected. */
  static final int CONSECUTIVE_FAILURES_TO_EJECT = 3;

  /** Largest share of the peers that may be ejected at once; one of two or more may always be. */
  static final double MAX_EJECTED_SHARE = 0.34;

  /** Duration of the first ejection, in milliseconds. */
  static final long FIRST_EJECTION_MILLIS = 2_000;

  /** Longest duration of an ejection, in milliseconds. */
  static final long MAX_EJECTION_MILLIS = 60_000;

  private final Map<String, FailureHistory> historyByBackend = new HashMap<>();

  private static final class FailureHistory {
    int consecutiveFailures;
    int ejections;
    long ejectedUntilMillis;
  }

  /**
   * Records a success: ends the series of consecutive failures and undoes one doubling of the next
   * ejection's duration.
   */
  public void recordSuccess(String backend) {
    FailureHistory history = historyByBackend.get(backend);
    if (history != null) {
      history.consecutiveFailures = 0;
      history.ejections = Math.max(0, history.ejections - 1);
    }
  }

  /**
   * Records a failure and ejects the backend server if it has reached the limit.
   *
   * @param peers backend servers that can take the same requests, including this one
   */
  public void recordFailure(String backend, Collection<String> peers, long nowMillis) {
    FailureHistory history =
        historyByBackend.computeIfAbsent(backend, name -> new FailureHistory());
    history.consecutiveFailures++;
    long ejectedPeers = peers.stream().filter(peer -> isEjected(peer, nowMillis)).count();
    boolean mayEject = (ejectedPeers + 1) <= Math.max(1, MAX_EJECTED_SHARE * peers.size());
    if (history.consecutiveFailures >= CONSECUTIVE_FAILURES_TO_EJECT
        && mayEject
        && peers.size() > 1) {
      long durationMillis = FIRST_EJECTION_MILLIS << Math.min(history.ejections, 10);
      history.ejectedUntilMillis = nowMillis + Math.min(durationMillis, MAX_EJECTION_MILLIS);
      history.ejections++;
      history.consecutiveFailures = 0;
    }
  }

  public boolean isEjected(String backend, long nowMillis) {
    FailureHistory history = historyByBackend.get(backend);
    return history != null && nowMillis < history.ejectedUntilMillis;
  }

  /** Returns the end of the backend server's last ejection, past or future; 0 if there was none. */
  public long lastEjectionEndMillis(String backend) {
    FailureHistory history = historyByBackend.get(backend);
    return history == null ? 0 : history.ejectedUntilMillis;
  }

  /** Discards the history of a backend server. */
  public void remove(String backend) {
    historyByBackend.remove(backend);
  }
}
