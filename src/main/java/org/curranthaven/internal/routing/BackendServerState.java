package org.curranthaven.internal.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** What this host knows of one server. Not thread-safe. */
final class BackendServerState {
  /** Prefixes remembered for one server. */
  private static final int MAX_PREFIXES = 4_096;

  /** Weight of the newest gap in the running mean. */
  private static final double NEWEST_GAP_WEIGHT = 0.1;

  private final Map<Long, OpenRequest> openRequests = new LinkedHashMap<>();
  private final Map<String, HostShare> sharesByHost = new HashMap<>();
  private final MemoryForecast forecast = new MemoryForecast();
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
  private double unattributedBlocks;
  private int unattributedRequests;
  private double meanTokenGapMillis;

  /** A request that this host has open on the server. */
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

  /** Takes a new report in and works out the load that no known request explains. */
  void updateReport(BackendReport newReport) {
    report = newReport;
    usable = true;
    double knownBlocks = 0;
    int known = 0;
    for (OpenRequest request : openRequests.values()) {
      if (request.dispatchedAtMillis <= newReport.sentAtMillis()) {
        knownBlocks += MemoryForecast.blocksOf(request.currentTokens());
        known++;
      }
    }
    for (HostShare share : sharesByHost.values()) {
      knownBlocks += share.forecast().currentBlocks();
      known += share.running();
    }
    unattributedBlocks = Math.max(0, newReport.blocksUsed() - knownBlocks);
    unattributedRequests = Math.max(0, newReport.running() + newReport.waiting() - known);
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

  void addOpenRequest(OpenRequest request) {
    openRequests.put(request.request.id(), request);
    forecast.add(
        request.outputLengths,
        request.currentTokens(),
        request.producedTokens,
        request.request.maxOutputTokens());
  }

  void recordProgress(long requestId, int tokens, long nowMillis) {
    OpenRequest request = openRequests.get(requestId);
    if (request == null || tokens <= request.producedTokens) {
      return;
    }
    if (request.producedTokens > 0) {
      double gap =
          (double) (nowMillis - request.lastTokenAtMillis) / (tokens - request.producedTokens);
      meanTokenGapMillis =
          meanTokenGapMillis == 0
              ? gap
              : meanTokenGapMillis + NEWEST_GAP_WEIGHT * (gap - meanTokenGapMillis);
    }
    request.producedTokens = tokens;
    request.lastTokenAtMillis = nowMillis;
  }

  @Nullable OpenRequest openRequest(long requestId) {
    return openRequests.get(requestId);
  }

  void removeOpenRequest(long requestId) {
    if (openRequests.remove(requestId) != null) {
      refreshForecast();
    }
  }

  /** Computes the forecast anew from all open requests and other hosts' shares. */
  void refreshForecast() {
    forecast.clear();
    for (OpenRequest request : openRequests.values()) {
      forecast.add(
          request.outputLengths,
          request.currentTokens(),
          request.producedTokens,
          request.request.maxOutputTokens());
    }
    for (HostShare share : sharesByHost.values()) {
      forecast.add(share.forecast());
    }
  }

  MemoryForecast forecast() {
    return forecast;
  }

  /** Returns the forecast of this host's own requests only. */
  MemoryForecast ownForecast() {
    MemoryForecast own = new MemoryForecast();
    for (OpenRequest request : openRequests.values()) {
      own.add(
          request.outputLengths,
          request.currentTokens(),
          request.producedTokens,
          request.request.maxOutputTokens());
    }
    return own;
  }

  /** Returns the memory counted as used now, in blocks. */
  double currentBlocks() {
    return forecast.currentBlocks() + unattributedBlocks;
  }

  double unattributedBlocks() {
    return unattributedBlocks;
  }

  int ownOpenCount() {
    return openRequests.size();
  }

  /** Returns the requests counted on the server: own, other hosts' and unexplained ones. */
  int totalOpenCount() {
    int total = openRequests.size() + unattributedRequests;
    for (HostShare share : sharesByHost.values()) {
      total += share.running();
    }
    return total;
  }

  double meanTokenGapMillis() {
    return meanTokenGapMillis;
  }

  void recordPrefix(long prefixHash, boolean present, long nowMillis) {
    if (present) {
      prefixSeenAtMillis.remove(prefixHash);
      prefixSeenAtMillis.put(prefixHash, nowMillis);
    } else {
      prefixSeenAtMillis.remove(prefixHash);
    }
  }

  /** Returns how far to trust that the server's cache holds the prefix, from 0 to 1. */
  double prefixCacheConfidence(long prefixHash, long nowMillis, double halfLifeMillis) {
    Long at = prefixHash == 0 ? null : prefixSeenAtMillis.get(prefixHash);
    return at == null ? 0 : Math.pow(0.5, (nowMillis - at) / halfLifeMillis);
  }
}
