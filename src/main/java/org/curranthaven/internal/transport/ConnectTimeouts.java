package org.curranthaven.internal.transport;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * How long a dialled host may take to answer. A host that has no power yet swallows what is sent to
 * it, so the first dials are given up soon and made again; one that never answers in time may be
 * far away, so later ones wait longer. Thread-safe.
 *
 * <pre>{@code
 * int timeout = times.timeoutMillis("10.0.0.1:7000");
 * times.recordTimeout("10.0.0.1:7000");
 * }</pre>
 */
final class ConnectTimeouts {
  /** Time for a host a few milliseconds away that is busy starting, in milliseconds. */
  static final int SHORT_TIMEOUT_MILLIS = 200;

  /** Time for the farthest host, in milliseconds. */
  static final int LONG_TIMEOUT_MILLIS = 1_000;

  /** Dials that are given up soon: together longer than a host takes to come back. */
  static final int SHORT_TIMEOUT_ATTEMPTS = 12;

  private final Map<String, Integer> timeoutsByAddress = new ConcurrentHashMap<>();

  /** Returns the time for the next dial of the address, in milliseconds. */
  int timeoutMillis(String address) {
    return timeoutsByAddress.getOrDefault(address, 0) < SHORT_TIMEOUT_ATTEMPTS
        ? SHORT_TIMEOUT_MILLIS
        : LONG_TIMEOUT_MILLIS;
  }

  void recordTimeout(String address) {
    timeoutsByAddress.merge(address, 1, Integer::sum);
  }

  void recordSuccess(String address) {
    timeoutsByAddress.remove(address);
  }

  /** Forgets what is not dialled any more. */
  void retainAddresses(Collection<String> addresses) {
    timeoutsByAddress.keySet().retainAll(addresses);
  }
}
