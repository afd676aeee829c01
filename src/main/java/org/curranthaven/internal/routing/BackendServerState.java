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
  private static final double GAP_WEIGHT = 0.1;

  private final Map<Long, OpenRequest> open = new LinkedHashMap<>();
  private final Map<String, HostShare> shares = new HashMap<>();
  private final MemoryForecast forecast = new MemoryForecast();
  private final LinkedHashMap<Long, Long> prefixes =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MAX_PREFIXES;
        }
      };
  private BackendReport report;
  private boolean usable = true;
  private double unexplainedBlocks;
  private int unexplainedRunning;
  private double gapMillis;

  /** A request that this host has open on the server. */
  static final class OpenRequest {
    final RequestAttributes request;
    final OutputLengths lengths;
    final long dispatchedAtMillis;
    int produced;
    long lastTokenAtMillis;

    OpenRequest(RequestAttributes request, OutputLengths lengths, long dispatchedAtMillis) {
      this.request = request;
      this.lengths = lengths;
      this.dispatchedAtMillis = dispatchedAtMillis;
    }

    int tokensNow() {
      return request.promptTokens() + produced;
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
  void reported(BackendReport newReport) {
    report = newReport;
    usable = true;
    double knownBlocks = 0;
    int known = 0;
    for (OpenRequest request : open.values()) {
      if (request.dispatchedAtMillis <= newReport.sentAtMillis()) {
        knownBlocks += MemoryForecast.blocksOf(request.tokensNow());
        known++;
      }
    }
    for (HostShare share : shares.values()) {
      knownBlocks += share.forecast().blocksNow();
      known += share.running();
    }
    unexplainedBlocks = Math.max(0, newReport.blocksUsed() - knownBlocks);
    unexplainedRunning = Math.max(0, newReport.running() + newReport.waiting() - known);
    refreshForecast();
  }

  void setShare(String host, HostShare share) {
    shares.put(host, share);
    refreshForecast();
  }

  void removeShare(String host) {
    if (shares.remove(host) != null) {
      refreshForecast();
    }
  }

  void opened(OpenRequest request) {
    open.put(request.request.id(), request);
    forecast.add(
        request.lengths, request.tokensNow(), request.produced, request.request.maxOutputTokens());
  }

  void progressed(long requestId, int tokens, long nowMillis) {
    OpenRequest request = open.get(requestId);
    if (request == null || tokens <= request.produced) {
      return;
    }
    if (request.produced > 0) {
      double gap = (double) (nowMillis - request.lastTokenAtMillis) / (tokens - request.produced);
      gapMillis = gapMillis == 0 ? gap : gapMillis + GAP_WEIGHT * (gap - gapMillis);
    }
    request.produced = tokens;
    request.lastTokenAtMillis = nowMillis;
  }

  @Nullable OpenRequest openRequest(long requestId) {
    return open.get(requestId);
  }

  void closed(long requestId) {
    if (open.remove(requestId) != null) {
      refreshForecast();
    }
  }

  /** Computes the forecast anew from all open requests and other hosts' shares. */
  void refreshForecast() {
    forecast.clear();
    for (OpenRequest request : open.values()) {
      forecast.add(
          request.lengths,
          request.tokensNow(),
          request.produced,
          request.request.maxOutputTokens());
    }
    for (HostShare share : shares.values()) {
      forecast.add(share.forecast());
    }
  }

  MemoryForecast forecast() {
    return forecast;
  }

  /** Returns the forecast of this host's own requests only. */
  MemoryForecast ownForecast() {
    MemoryForecast own = new MemoryForecast();
    for (OpenRequest request : open.values()) {
      own.add(
          request.lengths,
          request.tokensNow(),
          request.produced,
          request.request.maxOutputTokens());
    }
    return own;
  }

  /** Returns the memory counted as used now, in blocks. */
  double blocksNow() {
    return forecast.blocksNow() + unexplainedBlocks;
  }

  double unexplainedBlocks() {
    return unexplainedBlocks;
  }

  int ownOpen() {
    return open.size();
  }

  /** Returns the requests counted on the server: own, other hosts' and unexplained ones. */
  int totalRunning() {
    int total = open.size() + unexplainedRunning;
    for (HostShare share : shares.values()) {
      total += share.running();
    }
    return total;
  }

  double gapMillis() {
    return gapMillis;
  }

  void prefixCached(long prefixHash, boolean present, long nowMillis) {
    if (present) {
      prefixes.remove(prefixHash);
      prefixes.put(prefixHash, nowMillis);
    } else {
      prefixes.remove(prefixHash);
    }
  }

  /** Returns how far to trust that the server's cache holds the prefix, from 0 to 1. */
  double prefixTrust(long prefixHash, long nowMillis, double halfLifeMillis) {
    Long at = prefixHash == 0 ? null : prefixes.get(prefixHash);
    return at == null ? 0 : Math.pow(0.5, (nowMillis - at) / halfLifeMillis);
  }
}
