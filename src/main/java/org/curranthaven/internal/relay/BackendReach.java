package org.curranthaven.internal.relay;

import java.util.HashSet;
import java.util.Set;

/**
 * Tells whether this gateway reaches any backend server at present, as its connections show.
 * Confined to the event loop.
 */
final class BackendReach {
  /** Failed connections in a row, to at least {@link #MIN_SERVERS}, that show a partition. */
  static final int MIN_FAILURES = 3;

  static final int MIN_SERVERS = 2;

  /** Interval at which a request is sent to a backend server nevertheless, to find the end. */
  static final long TRIAL_INTERVAL_MILLIS = 500;

  private final Set<String> failedAddresses = new HashSet<>();
  private int failures;
  private long nextTrialMillis;

  /** Records that a backend server accepted a connection or sent a response. */
  void recordReached() {
    failures = 0;
    failedAddresses.clear();
  }

  /** Records that a connection to a backend server could not be made. */
  void recordFailure(String address) {
    failures++;
    failedAddresses.add(address);
  }

  /** Returns whether no backend server is reached. */
  boolean isPartitioned() {
    return failures >= MIN_FAILURES && failedAddresses.size() >= MIN_SERVERS;
  }

  /**
   * Returns whether a new request is better sent through another gateway: all are while no backend
   * server is reached, but for a trial now and then.
   */
  boolean shouldForward(long nowMillis) {
    if (!isPartitioned()) {
      return false;
    }
    if (nowMillis >= nextTrialMillis) {
      nextTrialMillis = nowMillis + TRIAL_INTERVAL_MILLIS;
      return false;
    }
    return true;
  }
}
