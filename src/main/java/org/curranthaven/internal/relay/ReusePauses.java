package org.curranthaven.internal.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Decides for how long no connection to a backend server is used again after the server has sent
 * bytes that belong to no request. A late copy of a response can only meet a later request on the
 * same connection. A pause that ends is followed by a longer one if such bytes come again. Not
 * thread-safe.
 */
final class ReusePauses {
  static final long FIRST_PAUSE_MILLIS = 1_000;

  /** Bounds how long a backend server that has recovered gets new connections only. */
  static final long MAX_PAUSE_MILLIS = 16_000;

  private final Map<String, Pause> pauses = new HashMap<>();

  private record Pause(long startMillis, long lengthMillis) {
    long endMillis() {
      return startMillis + lengthMillis;
    }
  }

  /** Records that such bytes came over a connection that had carried an earlier request. */
  void recordStray(String address, long nowMillis) {
    Pause latest = pauses.get(address);
    if (latest == null || nowMillis >= latest.endMillis() + MAX_PAUSE_MILLIS) {
      pauses.put(address, new Pause(nowMillis, FIRST_PAUSE_MILLIS));
    } else if (nowMillis >= latest.endMillis()) {
      pauses.put(
          address, new Pause(nowMillis, Math.min(2 * latest.lengthMillis(), MAX_PAUSE_MILLIS)));
    }
  }

  /** Returns whether a connection that has carried a request may carry another. */
  boolean mayReuse(String address, long nowMillis) {
    Pause latest = pauses.get(address);
    return latest == null || nowMillis >= latest.endMillis();
  }

  /** Forgets the backend servers at all addresses but the given ones. */
  void retain(Set<String> addresses) {
    pauses.keySet().retainAll(addresses);
  }
}
