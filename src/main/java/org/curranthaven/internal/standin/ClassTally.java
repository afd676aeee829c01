package org.curranthaven.internal.standin;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.curranthaven.api.Targets;

/** What callers of one class saw. Thread-safe. */
public final class ClassTally {
  private static final long MAX_MILLIS = 3_600_000;

  private final Targets targets;
  private final Histogram firstReply = new Histogram(MAX_MILLIS, 3);
  private final Histogram gaps = new Histogram(MAX_MILLIS, 3);
  private final Map<String, Integer> failures = new TreeMap<>();
  private long sent;
  private long completed;
  private long onTime;
  private long stallMillis;

  /** Creates the tally of a class. */
  public ClassTally(Targets targets) {
    this.targets = targets;
  }

  /** What callers of one class saw, as it stands in reports; times in milliseconds. */
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

  synchronized void sent() {
    sent++;
  }

  synchronized void firstReply(long millis) {
    firstReply.recordValue(Math.clamp(millis, 0, MAX_MILLIS));
    if (millis <= targets.firstReplyMillis()) {
      onTime++;
    }
  }

  synchronized void gap(long millis) {
    gaps.recordValue(Math.clamp(millis, 0, MAX_MILLIS));
    stallMillis += Math.max(0, millis - targets.gapMillis());
  }

  synchronized void completed() {
    completed++;
  }

  synchronized void failed(String reason) {
    failures.merge(reason, 1, Integer::sum);
  }

  /** Returns the figures so far. */
  public synchronized Summary summary() {
    return new Summary(
        sent,
        completed,
        onTime,
        stallMillis,
        firstReply.getValueAtPercentile(50),
        firstReply.getValueAtPercentile(99),
        gaps.getValueAtPercentile(99),
        gaps.getValueAtPercentile(99.9),
        targets.firstReplyMillis(),
        targets.gapMillis(),
        new TreeMap<>(failures));
  }
}
