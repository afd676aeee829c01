package org.curranthaven.internal.transport;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Chooses the connect timeout of each dialled address. A host that is powered off drops packets
 * without a reply, so the first attempts time out soon and are repeated; a host that never replies
 * in time may be far away, so later attempts have a longer timeout. Thread-safe.
 *
 * <pre>{@code
 * int timeoutMillis = timeouts.timeoutMillis("10.0.0.1:7000");
 * timeouts.recordTimeout("10.0.0.1:7000");
 * }</pre>
 */
final class ConnectTimeouts {
  /** Timeout that suffices for a host a few milliseconds away that is still starting. */
  static final int SHORT_TIMEOUT_MILLIS = 200;

  /** Timeout that suffices for the most distant host. */
  static final int LONG_TIMEOUT_MILLIS = 1_000;

  /** Attempts with the short timeout: together they last longer than a host takes to restart. */
  static final int SHORT_TIMEOUT_ATTEMPTS = 12;

  private final Map<String, Integer> timeoutCountByAddress = new ConcurrentHashMap<>();

  /** Returns the timeout of the next connection attempt to the address. */
  int timeoutMillis(String address) {
    return timeoutCountByAddress.getOrDefault(address, 0) < SHORT_TIMEOUT_ATTEMPTS
        ? SHORT_TIMEOUT_MILLIS
        : LONG_TIMEOUT_MILLIS;
  }

  void recordTimeout(String address) {
    timeoutCountByAddress.merge(address, 1, Integer::sum);
  }

  void recordSuccess(String address) {
    timeoutCountByAddress.remove(address);
  }

  /** Discards all other addresses, since they are no longer dialled. */
  void retainAddresses(Collection<String> addresses) {
    timeoutCountByAddress.keySet().retainAll(addresses);
  }
}
