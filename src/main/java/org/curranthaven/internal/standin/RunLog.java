package org.curranthaven.internal.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What the stand-ins ran, by the nonce in each request; kept outside the system. Thread-safe. */
public final class RunLog {
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();

  /** Notes that a request with the nonce began to run. */
  public void started(String nonce) {
    runs.merge(nonce, 1, Integer::sum);
  }

  /** Returns how often a request with the nonce began to run. */
  public int runs(String nonce) {
    return runs.getOrDefault(nonce, 0);
  }
}
