package org.curranthaven.internal.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Chooses which of a host's shares to tell the others: those whose number of requests has changed,
 * and all of them once a second. Not thread-safe.
 */
final class ShareUpdatePolicy {
  /** Time between two tellings of all shares, in milliseconds. */
  static final long FULL_UPDATE_INTERVAL_MILLIS = 1_000;

  private final Map<String, Integer> sentRunningCounts = new HashMap<>();
  private long nextFullUpdateMillis = Long.MIN_VALUE;

  /** Returns what to tell now, given all shares in force. */
  ShareUpdate nextUpdate(List<HostShare> shares, long nowMillis) {
    if (nowMillis >= nextFullUpdateMillis) {
      nextFullUpdateMillis = nowMillis + FULL_UPDATE_INTERVAL_MILLIS;
      sentRunningCounts.clear();
      shares.forEach(share -> sentRunningCounts.put(share.server(), share.running()));
      return new ShareUpdate(true, shares);
    }
    List<HostShare> changed = new ArrayList<>();
    Map<String, Integer> before = new HashMap<>(sentRunningCounts);
    for (HostShare share : shares) {
      Integer known = before.remove(share.server());
      if (known == null || known != share.running()) {
        changed.add(share);
        sentRunningCounts.put(share.server(), share.running());
      }
    }
    for (String server : before.keySet()) {
      changed.add(new HostShare(server, 0, new MemoryForecast()));
      sentRunningCounts.remove(server);
    }
    return new ShareUpdate(false, changed);
  }
}
