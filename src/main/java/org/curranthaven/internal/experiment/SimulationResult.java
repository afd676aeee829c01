package org.curranthaven.internal.experiment;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Figures of one or more simulated runs, as observed by callers. Not thread-safe. */
public final class SimulationResult {
  private static final long MAX_MILLIS = 3_600_000;

  /** Times between the tokens of a stream, over all streams, in milliseconds. */
  final Histogram tokenGaps = new Histogram(MAX_MILLIS, 3);

  /**
   * Times to first reply of each class, in milliseconds; a request without a reply counts with its
   * class's target for the complete response.
   */
  final TreeMap<String, Histogram> firstRepliesByClass = new TreeMap<>();

  /** Number of requests of each class that met their targets. */
  final TreeMap<String, Long> onTargetByClass = new TreeMap<>();

  /** Number of tokens produced while requests were arriving. */
  long tokensDuringArrivals;

  long stallMillis;
  long preemptions;
  long requests;
  long requestsOnTarget;
  long shedRequests;
  long arrivalDurationMillis;
  long handledEvents;
  long eventHandlingNanos;

  void recordTokenGap(long millis, long targetMillis) {
    tokenGaps.recordValue(Math.clamp(millis, 0, MAX_MILLIS));
    stallMillis += Math.max(0, millis - targetMillis);
  }

  void recordFirstReply(String className, long millis) {
    firstRepliesByClass
        .computeIfAbsent(className, name -> new Histogram(MAX_MILLIS, 3))
        .recordValue(Math.clamp(millis, 0, MAX_MILLIS));
  }

  /** Adds the figures of another run. */
  void add(SimulationResult other) {
    tokenGaps.add(other.tokenGaps);
    other.firstRepliesByClass.forEach(
        (name, histogram) ->
            firstRepliesByClass
                .computeIfAbsent(name, n -> new Histogram(MAX_MILLIS, 3))
                .add(histogram));
    stallMillis += other.stallMillis;
    preemptions += other.preemptions;
    requests += other.requests;
    requestsOnTarget += other.requestsOnTarget;
    shedRequests += other.shedRequests;
    tokensDuringArrivals += other.tokensDuringArrivals;
    arrivalDurationMillis += other.arrivalDurationMillis;
    other.onTargetByClass.forEach((name, count) -> onTargetByClass.merge(name, count, Long::sum));
    handledEvents += other.handledEvents;
    eventHandlingNanos += other.eventHandlingNanos;
  }

  /** Returns, for each class, the share of requests that met their targets. */
  Map<String, Double> onTargetShares() {
    TreeMap<String, Double> shares = new TreeMap<>();
    firstRepliesByClass.forEach(
        (name, histogram) ->
            shares.put(
                name,
                Math.round(
                        1_000.0
                            * onTargetByClass.getOrDefault(name, 0L)
                            / Math.max(1, histogram.getTotalCount()))
                    / 1_000.0));
    return shares;
  }

  double tokensPerSecond() {
    return arrivalDurationMillis == 0 ? 0 : tokensDuringArrivals * 1_000.0 / arrivalDurationMillis;
  }

  long firstReplyP99Millis(String className) {
    Histogram histogram = firstRepliesByClass.get(className);
    return histogram == null ? 0 : histogram.getValueAtPercentile(99);
  }
}
