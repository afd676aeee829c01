package org.curranthaven.internal.observe;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts, by class, how many first replies and gaps were within the class's targets over the last
 * minute and the last 15 minutes. Thread-safe.
 */
public final class TargetMonitor {
  /** Share of first replies and of gaps within the target at which a class meets it. */
  public static final double REQUIRED_SHARE = 0.95;

  /** Length of the short window, in milliseconds. */
  static final long SHORT_WINDOW_MILLIS = 60_000;

  /** Length of the long window, in milliseconds. */
  static final long LONG_WINDOW_MILLIS = 900_000;

  private static final long BUCKET_MILLIS = 5_000;

  private final Map<String, Deque<Bucket>> bucketsByClass = new HashMap<>();

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
   * Figures of a class over one window.
   *
   * @param failed requests that ended with an error; each counts as a missed first reply
   */
  public record Window(long replies, long repliesInTime, long gaps, long gapsInTime, long failed) {
    /** Returns whether the class meets its targets; a class without requests does. */
    public boolean met() {
      long asked = replies + failed;
      boolean firstMet = asked == 0 || repliesInTime >= REQUIRED_SHARE * asked;
      boolean gapMet = gaps == 0 || gapsInTime >= REQUIRED_SHARE * gaps;
      return firstMet && gapMet;
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

  /** Figures of a class over both windows. */
  public record ClassStatus(Window lastMinute, Window last15Minutes) {}

  /** Notes a first reply, or a whole answer of a plain call. */
  public synchronized void recordFirstReply(
      String className, long millis, long targetMillis, long nowMillis) {
    Bucket bucket = bucket(className, nowMillis);
    bucket.replies++;
    if (millis <= targetMillis) {
      bucket.repliesInTime++;
    }
  }

  /** Notes the time between two tokens. */
  public synchronized void recordGap(
      String className, long millis, long targetMillis, long nowMillis) {
    Bucket bucket = bucket(className, nowMillis);
    bucket.gaps++;
    if (millis <= targetMillis) {
      bucket.gapsInTime++;
    }
  }

  /** Notes a request that ended with an error. */
  public synchronized void recordFailure(String className, long nowMillis) {
    bucket(className, nowMillis).failed++;
  }

  /** Returns the figures of every class. */
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
