package org.curranthaven.internal.standin;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.curranthaven.api.Targets;

/** Statistics of one class of requests, as observed by the callers. Thread-safe. */
public final class ClassStatistics {
  private static final long MAX_MILLIS = 3_600_000;

  private final Targets targets;
  private final Histogram firstReplies = new Histogram(MAX_MILLIS, 3);
  private final Histogram tokenGaps = new Histogram(MAX_MILLIS, 3);
  private final Map<String, Integer> failures = new TreeMap<>();
  private long sent;
  private long completed;
  private long onTime;
  private long stallMillis;

  /** Creates empty statistics of a class with the given targets. */
  public ClassStatistics(Targets targets) {
    this.targets = targets;
  }

  /** The statistics as written to reports; times in milliseconds. */
  public record Summary(
      long sent,
      long completed,
      long onTime,
      long stallMillis,
      long firstReplyP50Millis,
      long firstReplyP99Millis,
      long gapP99Millis,
      long gapP999Millis,
      long firstReplyTargetMillis,
      long gapTargetMillis,
      Map<String, Integer> failures) {}

  synchronized void recordSent() {
    sent++;
  }

  synchronized void recordFirstReply(long millis) {
    firstReplies.recordValue(Math.clamp(millis, 0, MAX_MILLIS));
    if (millis <= targets.firstReplyMillis()) {
      onTime++;
    }
  }

  synchronized void recordTokenGap(long millis) {
    tokenGaps.recordValue(Math.clamp(millis, 0, MAX_MILLIS));
    stallMillis += Math.max(0, millis - targets.gapMillis());
  }

  synchronized void recordCompletion() {
    completed++;
  }

  synchronized void recordFailure(String reason) {
    failures.merge(reason, 1, Integer::sum);
  }

  /** Returns a summary of the requests so far. */
  public synchronized Summary summary() {
    return new Summary(
        sent,
        completed,
        onTime,
        stallMillis,
        firstReplies.getValueAtPercentile(50),
        firstReplies.getValueAtPercentile(99),
        tokenGaps.getValueAtPercentile(99),
        tokenGaps.getValueAtPercentile(99.9),
        targets.firstReplyMillis(),
        targets.gapMillis(),
        new TreeMap<>(failures));
  }
}
