package org.curranthaven.internal.observe;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts, by service class, how many first replies and gaps between tokens met the targets of the
 * class over the last minute and the last 15 minutes. Thread-safe.
 */
public final class TargetMonitor {
  /** Share of first replies, and of gaps, that must meet the target for the class to meet it. */
  public static final double REQUIRED_SHARE = 0.95;

  static final long SHORT_WINDOW_MILLIS = 60_000;
  static final long LONG_WINDOW_MILLIS = 900_000;

  private static final long BUCKET_MILLIS = 5_000;

  private final Map<String, Deque<Bucket>> bucketsByClass = new HashMap<>();

  /** Counts of one interval of {@link #BUCKET_MILLIS}. */
  private static final class Bucket {
    final long startMillis;
    long replies;
    long repliesInTime;
    long gaps;
    long gapsInTime;
    long failed;

    Bucket(long startMillis) {
      this.startMillis = startMillis;
    }
  }

  /**
   * Counts of a class over one window.
   *
   * @param replies number of first replies
   * @param repliesInTime number of first replies that met the target
   * @param gaps number of gaps between two tokens
   * @param gapsInTime number of gaps that met the target
   * @param failed number of requests that ended with an error; each counts as a missed first reply
   */
  public record Window(long replies, long repliesInTime, long gaps, long gapsInTime, long failed) {
    /** Returns whether the class meets its targets; true for a class without requests. */
    public boolean met() {
      long requests = replies + failed;
      boolean firstReplyTargetMet = requests == 0 || repliesInTime >= REQUIRED_SHARE * requests;
      boolean gapTargetMet = gaps == 0 || gapsInTime >= REQUIRED_SHARE * gaps;
      return firstReplyTargetMet && gapTargetMet;
    }

    /** Returns the sum of two windows. */
    public Window plus(Window other) {
      return new Window(
          replies + other.replies,
          repliesInTime + other.repliesInTime,
          gaps + other.gaps,
          gapsInTime + other.gapsInTime,
          failed + other.failed);
    }
  }

  /** Counts of a class over both windows. */
  public record ClassStatus(Window lastMinute, Window last15Minutes) {}

  /** Records the first reply of a generation, or the complete response of a plain service. */
  public synchronized void recordFirstReply(
      String className, long firstReplyMillis, long targetMillis, long nowMillis) {
    Bucket bucket = bucket(className, nowMillis);
    bucket.replies++;
    if (firstReplyMillis <= targetMillis) {
      bucket.repliesInTime++;
    }
  }

  /** Records the gap between two tokens of a stream. */
  public synchronized void recordGap(
      String className, long gapMillis, long targetMillis, long nowMillis) {
    Bucket bucket = bucket(className, nowMillis);
    bucket.gaps++;
    if (gapMillis <= targetMillis) {
      bucket.gapsInTime++;
    }
  }

  /** Records a request that ended with an error. */
  public synchronized void recordFailure(String className, long nowMillis) {
    bucket(className, nowMillis).failed++;
  }

  /** Returns the counts of every class by name. */
  public synchronized Map<String, ClassStatus> statuses(long nowMillis) {
    Map<String, ClassStatus> statuses = new TreeMap<>();
    bucketsByClass.forEach(
        (name, buckets) ->
            statuses.put(
                name,
                new ClassStatus(
                    window(buckets, nowMillis - SHORT_WINDOW_MILLIS),
                    window(buckets, nowMillis - LONG_WINDOW_MILLIS))));
    return statuses;
  }

  private static Window window(Deque<Bucket> buckets, long sinceMillis) {
    Window sum = new Window(0, 0, 0, 0, 0);
    Iterator<Bucket> newestFirst = buckets.descendingIterator();
    while (newestFirst.hasNext()) {
      Bucket bucket = newestFirst.next();
      if (bucket.startMillis <= sinceMillis) {
        break;
      }
      sum =
          sum.plus(
              new Window(
                  bucket.replies,
                  bucket.repliesInTime,
                  bucket.gaps,
                  bucket.gapsInTime,
                  bucket.failed));
    }
    return sum;
  }

  private Bucket bucket(String className, long nowMillis) {
    Deque<Bucket> buckets = bucketsByClass.computeIfAbsent(className, name -> new ArrayDeque<>());
    long start = Math.floorDiv(nowMillis, BUCKET_MILLIS) * BUCKET_MILLIS;
    if (buckets.isEmpty() || buckets.getLast().startMillis < start) {
      buckets.addLast(new Bucket(start));
      while (buckets.getFirst().startMillis <= start - LONG_WINDOW_MILLIS) {
        buckets.removeFirst();
      }
    }
    return buckets.getLast();
  }
}
