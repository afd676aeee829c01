package org.curranthaven.internal.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Takes backend servers out of use that fail a part of their calls while their peers do not: a
 * bounded share of them at once, for a time that doubles each time. Not thread-safe.
 */
final class FailureRateEjector {
  /** Failures among recent calls above which a backend server is an outlier. */
  private static final double OUTLIER_FAILURE_RATE = 0.25;

  /** Factor by which an outlier fails more often than its peers. */
  private static final double PEER_FACTOR = 2.5;

  /** Weight of the latest call in the rate. */
  private static final double LATEST_REQUEST_WEIGHT = 0.12;

  /** Calls before the rate counts. */
  private static final int MIN_REQUESTS = 6;

  private static final double MAX_EJECTED_SHARE = 0.34;
  private static final long FIRST_EJECTION_MILLIS = 2_500;
  private static final int MAX_DOUBLINGS = 4;

  /** Rate with which a backend server comes back: a few more failures take it out again. */
  private static final double POST_EJECTION_FAILURE_RATE = 0.15;

  private final Map<String, RequestStats> statsByBackend = new HashMap<>();

  private static final class RequestStats {
    double failureRate;
    int requests;
    int ejections;
    long ejectedUntilMillis;
  }

  void succeeded(String backend) {
    recordOutcome(backend, 0);
  }

  void failed(String backend, Collection<String> peers, long nowMillis) {
    RequestStats tally = recordOutcome(backend, 1);
    if (tally.requests < MIN_REQUESTS || nowMillis < tally.ejectedUntilMillis) {
      return;
    }
    double peerRate =
        peers.stream()
            .filter(peer -> !peer.equals(backend))
            .mapToDouble(this::failureRate)
            .average()
            .orElse(1);
    long out = peers.stream().filter(peer -> isEjected(peer, nowMillis)).count();
    boolean mayGo = out + 1 <= Math.max(1, MAX_EJECTED_SHARE * peers.size()) && peers.size() > 1;
    if (mayGo
        && tally.failureRate > OUTLIER_FAILURE_RATE
        && tally.failureRate > PEER_FACTOR * peerRate) {
      tally.ejectedUntilMillis =
          nowMillis + (FIRST_EJECTION_MILLIS << Math.min(tally.ejections, MAX_DOUBLINGS));
      tally.ejections++;
      tally.failureRate = POST_EJECTION_FAILURE_RATE;
    }
  }

  private RequestStats recordOutcome(String backend, double failure) {
    RequestStats tally = statsByBackend.computeIfAbsent(backend, id -> new RequestStats());
    tally.requests++;
    tally.failureRate += LATEST_REQUEST_WEIGHT * (failure - tally.failureRate);
    return tally;
  }

  private double failureRate(String backend) {
    RequestStats tally = statsByBackend.get(backend);
    return tally == null ? 0 : tally.failureRate;
  }

  boolean isEjected(String backend, long nowMillis) {
    RequestStats tally = statsByBackend.get(backend);
    return tally != null && nowMillis < tally.ejectedUntilMillis;
  }

  void remove(String backend) {
    statsByBackend.remove(backend);
  }
}
