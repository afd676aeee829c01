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
  private static final double OUTLIER_RATE = 0.25;

  /** Factor by which an outlier fails more often than its peers. */
  private static final double PEER_FACTOR = 2.5;

  /** Weight of the latest call in the rate. */
  private static final double LATEST_WEIGHT = 0.12;

  /** Calls before the rate counts. */
  private static final int MIN_CALLS = 6;

  private static final double MAX_OUT_SHARE = 0.34;
  private static final long FIRST_OUT_MILLIS = 2_500;
  private static final int MAX_DOUBLINGS = 4;

  /** Rate with which a backend server comes back: a few more failures take it out again. */
  private static final double RETURN_RATE = 0.15;

  private final Map<String, Tally> tallies = new HashMap<>();

  private static final class Tally {
    double rate;
    int calls;
    int timesOut;
    long outUntilMillis;
  }

  void succeeded(String backend) {
    noted(backend, 0);
  }

  void failed(String backend, Collection<String> peers, long nowMillis) {
    Tally tally = noted(backend, 1);
    if (tally.calls < MIN_CALLS || nowMillis < tally.outUntilMillis) {
      return;
    }
    double peerRate =
        peers.stream()
            .filter(peer -> !peer.equals(backend))
            .mapToDouble(this::rate)
            .average()
            .orElse(1);
    long out = peers.stream().filter(peer -> isOut(peer, nowMillis)).count();
    boolean mayGo = out + 1 <= Math.max(1, MAX_OUT_SHARE * peers.size()) && peers.size() > 1;
    if (mayGo && tally.rate > OUTLIER_RATE && tally.rate > PEER_FACTOR * peerRate) {
      tally.outUntilMillis =
          nowMillis + (FIRST_OUT_MILLIS << Math.min(tally.timesOut, MAX_DOUBLINGS));
      tally.timesOut++;
      tally.rate = RETURN_RATE;
    }
  }

  private Tally noted(String backend, double failure) {
    Tally tally = tallies.computeIfAbsent(backend, id -> new Tally());
    tally.calls++;
    tally.rate += LATEST_WEIGHT * (failure - tally.rate);
    return tally;
  }

  private double rate(String backend) {
    Tally tally = tallies.get(backend);
    return tally == null ? 0 : tally.rate;
  }

  boolean isOut(String backend, long nowMillis) {
    Tally tally = tallies.get(backend);
    return tally != null && nowMillis < tally.outUntilMillis;
  }

  void forget(String backend) {
    tallies.remove(backend);
  }
}
