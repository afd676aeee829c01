package org.curranthaven.internal.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Counts how often the stand-ins started each request, by its nonce, independently of the system
 * under test. Thread-safe.
 */
public final class RunLog {
  private final Map<String, Integer> startsByNonce = new ConcurrentHashMap<>();

  /** Records that a request with the nonce started to run. */
  public void recordStart(String nonce) {
    startsByNonce.merge(nonce, 1, Integer::sum);
  }

  /** Returns how often a request with the nonce started to run. */
  public int startCount(String nonce) {
    return startsByNonce.getOrDefault(nonce, 0);
  }
}
