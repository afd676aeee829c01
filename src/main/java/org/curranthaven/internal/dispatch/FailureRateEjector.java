package org.curranthaven.internal.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Temporarily ejects backend servers that fail a larger part of their requests than their peers. At
 * most a bounded share of the peers is ejected at once, but one always may be. The duration doubles
 * with each further ejection, up to a limit. Not thread-safe.
 */
final class FailureRateEjector {
  /** Failure rate of recent requests above which a backend server is an outlier. */
  private static final double OUTLIER_FAILURE_RATE = 0.25;

  /** Factor by which an outlier's failure rate must exceed the average of its peers. */
  private static final double PEER_FACTOR = 2.5;

  /** Weight of the latest request in the moving average of the failure rate. */
  private static final double LATEST_REQUEST_WEIGHT = 0.12;

  /** Requests needed before a backend server may be ejected. */
  private static final int MIN_REQUESTS = 6;

  /** Largest share of the peers that may be ejected at once; one may always be. */
  private static final double MAX_EJECTED_SHARE = 0.34;

  private static final long FIRST_EJECTION_MILLIS = 2_500;
  private static final int MAX_DOUBLINGS = 4;

  /**
   * Failure rate assigned to a backend server on ejection; once the ejection has ended, a few more
   * failures eject it again.
   */
  private static final double POST_EJECTION_FAILURE_RATE = 0.15;

  private final Map<String, RequestStats> statsByBackend = new HashMap<>();

  private static final class RequestStats {
    double failureRate;
    int requests;
    int ejections;
    long ejectedUntilMillis;
  }

  void recordSuccess(String backend) {
    recordOutcome(backend, 0);
  }

  /**
   * Records a failure and ejects the backend server if it is an outlier.
   *
   * @param peers backend servers of the same service, including this one
   */
  void recordFailure(String backend, Collection<String> peers, long nowMillis) {
    RequestStats stats = recordOutcome(backend, 1);
    if (stats.requests < MIN_REQUESTS || nowMillis < stats.ejectedUntilMillis) {
      return;
    }
    double peerFailureRate =
        peers.stream()
            .filter(peer -> !peer.equals(backend))
            .mapToDouble(this::failureRate)
            .average()
            .orElse(1);
    long ejectedPeers = peers.stream().filter(peer -> isEjected(peer, nowMillis)).count();
    boolean mayEject =
        ejectedPeers + 1 <= Math.max(1, MAX_EJECTED_SHARE * peers.size()) && peers.size() > 1;
    if (mayEject
        && stats.failureRate > OUTLIER_FAILURE_RATE
        && stats.failureRate > PEER_FACTOR * peerFailureRate) {
      stats.ejectedUntilMillis =
          nowMillis + (FIRST_EJECTION_MILLIS << Math.min(stats.ejections, MAX_DOUBLINGS));
      stats.ejections++;
      stats.failureRate = POST_EJECTION_FAILURE_RATE;
    }
  }

  /** Updates the statistics; {@code failure} is 1 for a failure and 0 for a success. */
  private RequestStats recordOutcome(String backend, double failure) {
    RequestStats stats = statsByBackend.computeIfAbsent(backend, id -> new RequestStats());
    stats.requests++;
    stats.failureRate += LATEST_REQUEST_WEIGHT * (failure - stats.failureRate);
    return stats;
  }

  private double failureRate(String backend) {
    RequestStats stats = statsByBackend.get(backend);
    return stats == null ? 0 : stats.failureRate;
  }

  boolean isEjected(String backend, long nowMillis) {
    RequestStats stats = statsByBackend.get(backend);
    return stats != null && nowMillis < stats.ejectedUntilMillis;
  }

  void remove(String backend) {
    statsByBackend.remove(backend);
  }
}
