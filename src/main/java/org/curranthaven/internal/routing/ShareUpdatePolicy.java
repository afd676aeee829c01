package org.curranthaven.internal.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which of a host's shares go into the next update to the other hosts: those whose number
 * of requests has changed since the last update, and all of them once a second. Not thread-safe.
 */
final class ShareUpdatePolicy {
  /** Interval between two full updates, in milliseconds. */
  static final long FULL_UPDATE_INTERVAL_MILLIS = 1_000;

  /** Number of running requests last sent, by backend server. */
  private final Map<String, Integer> sentRunningCounts = new HashMap<>();

  private long nextFullUpdateMillis = Long.MIN_VALUE;

  /** Returns the update to send now, given all current shares, and records it as sent. */
  ShareUpdate nextUpdate(List<HostShare> shares, long nowMillis) {
    if (nowMillis >= nextFullUpdateMillis) {
      nextFullUpdateMillis = nowMillis + FULL_UPDATE_INTERVAL_MILLIS;
      sentRunningCounts.clear();
      shares.forEach(share -> sentRunningCounts.put(share.server(), share.running()));
      return new ShareUpdate(true, shares);
    }
    List<HostShare> changed = new ArrayList<>();
    Map<String, Integer> withoutShare = new HashMap<>(sentRunningCounts);
    for (HostShare share : shares) {
      Integer sentCount = withoutShare.remove(share.server());
      if (sentCount == null || sentCount != share.running()) {
        changed.add(share);
        sentRunningCounts.put(share.server(), share.running());
      }
    }
    for (String backend : withoutShare.keySet()) {
      changed.add(new HostShare(backend, 0, new MemoryForecast()));
      sentRunningCounts.remove(backend);
    }
    return new ShareUpdate(false, changed);
  }
}
