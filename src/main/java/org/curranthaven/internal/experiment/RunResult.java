package org.curranthaven.internal.experiment;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What the callers of one run saw. Not thread-safe. */
public final class RunResult {
  private static final long MAX_MILLIS = 3_600_000;

  /** Gaps of all streams, in milliseconds. */
  final Histogram gaps = new Histogram(MAX_MILLIS, 3);

  /** First replies of each class, in milliseconds; a shed request counts as its answer target. */
  final TreeMap<String, Histogram> firstReplies = new TreeMap<>();

  /** Requests of each class that met their targets. */
  final TreeMap<String, Long> metByClass = new TreeMap<>();

  /** Tokens delivered while requests were arriving. */
  long tokens;

  long stallMillis;
  long preemptions;
  long requests;
  long met;
  long shed;
  long arrivalMillis;
  long decisions;
  long decisionNanos;

  void gap(long millis, long targetMillis) {
    gaps.recordValue(Math.clamp(millis, 0, MAX_MILLIS));
    stallMillis += Math.max(0, millis - targetMillis);
  }

  void firstReply(String className, long millis) {
    firstReplies
        .computeIfAbsent(className, name -> new Histogram(MAX_MILLIS, 3))
        .recordValue(Math.clamp(millis, 0, MAX_MILLIS));
  }

  /** Adds another run's figures. */
  void add(RunResult other) {
    gaps.add(other.gaps);
    other.firstReplies.forEach(
        (name, histogram) ->
            firstReplies.computeIfAbsent(name, n -> new Histogram(MAX_MILLIS, 3)).add(histogram));
    stallMillis += other.stallMillis;
    preemptions += other.preemptions;
    requests += other.requests;
    met += other.met;
    shed += other.shed;
    tokens += other.tokens;
    arrivalMillis += other.arrivalMillis;
    other.metByClass.forEach((name, count) -> metByClass.merge(name, count, Long::sum));
    decisions += other.decisions;
    decisionNanos += other.decisionNanos;
  }

  /** Returns the share of each class's requests that met their targets. */
  Map<String, Double> metShares() {
    TreeMap<String, Double> shares = new TreeMap<>();
    firstReplies.forEach(
        (name, histogram) ->
            shares.put(
                name,
                Math.round(
                        1_000.0
                            * metByClass.getOrDefault(name, 0L)
                            / Math.max(1, histogram.getTotalCount()))
                    / 1_000.0));
    return shares;
  }

  double tokensPerSecond() {
    return arrivalMillis == 0 ? 0 : tokens * 1_000.0 / arrivalMillis;
  }

  long firstReplyP99Millis(String className) {
    Histogram histogram = firstReplies.get(className);
    return histogram == null ? 0 : histogram.getValueAtPercentile(99);
  }
}
