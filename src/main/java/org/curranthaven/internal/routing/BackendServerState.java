package org.curranthaven.internal.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** This host's view of one backend server: its load, open requests and cache. Not thread-safe. */
final class BackendServerState {
  /** Largest number of cached prefixes tracked for a backend server. */
  private static final int MAX_PREFIXES = 4_096;

  /** Weight of the newest gap in the moving average. */
  private static final double NEWEST_GAP_WEIGHT = 0.1;

  private final Map<Long, OpenRequest> openRequests = new LinkedHashMap<>();

  /** Open requests of the other hosts on this backend server. */
  private final Map<String, HostShare> sharesByHost = new HashMap<>();

  private final MemoryForecast forecast = new MemoryForecast();

  /** Time of the last cache event of each prefix hash, oldest first. */
  private final LinkedHashMap<Long, Long> prefixSeenAtMillis =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MAX_PREFIXES;
        }
      };

  private BackendReport report;
  private boolean usable = true;

  /** Reported memory use that no known request accounts for, in blocks. */
  private double unattributedBlocks;

  /** Reported requests that this host knows nothing else of. */
  private int unattributedRequests;

  private double meanTokenGapMillis;

  /** A request of this host that is open on the backend server. */
  static final class OpenRequest {
    final RequestAttributes request;
    final OutputLengths outputLengths;
    final long dispatchedAtMillis;
    int producedTokens;
    long lastTokenAtMillis;

    OpenRequest(RequestAttributes request, OutputLengths lengths, long dispatchedAtMillis) {
      this.request = request;
      this.outputLengths = lengths;
      this.dispatchedAtMillis = dispatchedAtMillis;
    }

    int currentTokens() {
      return request.promptTokens() + producedTokens;
    }
  }

  BackendServerState(BackendReport report) {
    this.report = report;
  }

  String name() {
    return report.name();
  }

  BackendReport report() {
    return report;
  }

  boolean usable() {
    return usable;
  }

  void setUsable(boolean usable) {
    this.usable = usable;
  }

  boolean serves(String model) {
    return usable && report.models().contains(model);
  }

  /** Handles a new report and computes the load that no known request accounts for. */
  void updateReport(BackendReport newReport) {
    report = newReport;
    usable = true;
    double knownBlocks = 0;
    int knownRequests = 0;
    for (OpenRequest openRequest : openRequests.values()) {
      if (openRequest.dispatchedAtMillis <= newReport.sentAtMillis()) {
        knownBlocks += MemoryForecast.blocksOf(openRequest.currentTokens());
        knownRequests++;
      }
    }
    for (HostShare share : sharesByHost.values()) {
      knownBlocks += share.forecast().currentBlocks();
      knownRequests += share.running();
    }
    unattributedBlocks = Math.max(0, newReport.blocksUsed() - knownBlocks);
    unattributedRequests = Math.max(0, newReport.running() + newReport.waiting() - knownRequests);
    refreshForecast();
  }

  void setShare(String host, HostShare share) {
    sharesByHost.put(host, share);
    refreshForecast();
  }

  void removeShare(String host) {
    if (sharesByHost.remove(host) != null) {
      refreshForecast();
    }
  }

  void addOpenRequest(OpenRequest openRequest) {
    openRequests.put(openRequest.request.id(), openRequest);
    forecast.add(
        openRequest.outputLengths,
        openRequest.currentTokens(),
        openRequest.producedTokens,
        openRequest.request.maxOutputTokens());
  }

  /** Records that a request has produced {@code producedTokens} tokens so far. */
  void recordProgress(long requestId, int producedTokens, long nowMillis) {
    OpenRequest openRequest = openRequests.get(requestId);
    if (openRequest == null || producedTokens <= openRequest.producedTokens) {
      return;
    }
    if (openRequest.producedTokens > 0) {
      double gap =
          (double) (nowMillis - openRequest.lastTokenAtMillis)
              / (producedTokens - openRequest.producedTokens);
      meanTokenGapMillis =
          meanTokenGapMillis == 0
              ? gap
              : meanTokenGapMillis + NEWEST_GAP_WEIGHT * (gap - meanTokenGapMillis);
    }
    openRequest.producedTokens = producedTokens;
    openRequest.lastTokenAtMillis = nowMillis;
  }

  @Nullable OpenRequest openRequest(long requestId) {
    return openRequests.get(requestId);
  }

  void removeOpenRequest(long requestId) {
    if (openRequests.remove(requestId) != null) {
      refreshForecast();
    }
  }

  /** Recomputes the forecast from all open requests and other hosts' shares. */
  void refreshForecast() {
    forecast.clear();
    for (OpenRequest openRequest : openRequests.values()) {
      forecast.add(
          openRequest.outputLengths,
          openRequest.currentTokens(),
          openRequest.producedTokens,
          openRequest.request.maxOutputTokens());
    }
    for (HostShare share : sharesByHost.values()) {
      forecast.add(share.forecast());
    }
  }

  MemoryForecast forecast() {
    return forecast;
  }

  /** Returns the forecast of this host's open requests only. */
  MemoryForecast ownForecast() {
    MemoryForecast own = new MemoryForecast();
    for (OpenRequest openRequest : openRequests.values()) {
      own.add(
          openRequest.outputLengths,
          openRequest.currentTokens(),
          openRequest.producedTokens,
          openRequest.request.maxOutputTokens());
    }
    return own;
  }

  /** Returns the estimated memory use at present, in blocks. */
  double currentBlocks() {
    return forecast.currentBlocks() + unattributedBlocks;
  }

  double unattributedBlocks() {
    return unattributedBlocks;
  }

  /** Returns the number of this host's open requests. */
  int ownOpenCount() {
    return openRequests.size();
  }

  /**
   * Returns the estimated number of open requests: this host's, the other hosts' and those that
   * only the report accounts for.
   */
  int totalOpenCount() {
    int total = openRequests.size() + unattributedRequests;
    for (HostShare share : sharesByHost.values()) {
      total += share.running();
    }
    return total;
  }

  /** Returns the moving average of the time between two tokens; 0 if not yet known. */
  double meanTokenGapMillis() {
    return meanTokenGapMillis;
  }

  /** Records whether the backend server's cache contains the prefix. */
  void recordPrefix(long prefixHash, boolean present, long nowMillis) {
    if (present) {
      prefixSeenAtMillis.remove(prefixHash);
      prefixSeenAtMillis.put(prefixHash, nowMillis);
    } else {
      prefixSeenAtMillis.remove(prefixHash);
    }
  }

  /** Returns the confidence that the backend server's cache contains the prefix, from 0 to 1. */
  double prefixCacheConfidence(long prefixHash, long nowMillis, double halfLifeMillis) {
    Long seenAtMillis = prefixHash == 0 ? null : prefixSeenAtMillis.get(prefixHash);
    return seenAtMillis == null
        ? 0
        : StrictMath.pow(0.5, (nowMillis - seenAtMillis) / halfLifeMillis);
  }
}
