package org.curranthaven.internal.dispatch;

import java.util.Arrays;

/**
 * Counts the requests and retries of one service in a sliding window, in buckets. Requests are
 * counted over no more than the window and retries over no less, so that neither counts for too
 * much. Not thread-safe.
 */
final class RetryWindow {
  /** Number of buckets that the sliding window is divided into. */
  static final int BUCKETS = 100;

  /** Retries are counted over one bucket more than requests. */
  private static final int KEPT = BUCKETS + 1;

  /** Number of an empty bucket, far from any other. */
  private static final long NO_NUMBER = Long.MIN_VALUE / 4;

  private final long bucketMillis;
  private final long[] numbers = new long[KEPT];
  private final int[] requests = new int[KEPT];
  private final int[] retries = new int[KEPT];
  private final int[] reserveRetries = new int[KEPT];

  /** What the buckets hold that are not older than the window. */
  record Sums(int requests, int retries, int reserveRetries) {}

  RetryWindow(long windowMillis) {
    this.bucketMillis = bucketMillis(windowMillis);
    Arrays.fill(numbers, NO_NUMBER);
  }

  /** Returns the length of a bucket. */
  static long bucketMillis(long windowMillis) {
    return Math.max(1, (windowMillis + BUCKETS - 1) / BUCKETS);
  }

  void addRequests(int count, long atMillis, long nowMillis) {
    int index = bucketOf(number(atMillis), number(nowMillis));
    if (index >= 0) {
      requests[index] += count;
    }
  }

  /** Adds retries; those on the reserve of the host are counted among all. */
  void addRetries(int count, int onReserve, long atMillis, long nowMillis) {
    int index = bucketOf(number(atMillis), number(nowMillis));
    if (index >= 0) {
      retries[index] += count;
      reserveRetries[index] += onReserve;
    }
  }

  Sums sums(long nowMillis) {
    long current = number(nowMillis);
    int requestSum = 0;
    int retrySum = 0;
    int reserveSum = 0;
    for (int i = 0; i < KEPT; i++) {
      long age = current - numbers[i];
      if (age < KEPT) {
        requestSum += age < BUCKETS ? requests[i] : 0;
        retrySum += retries[i];
        reserveSum += reserveRetries[i];
      }
    }
    return new Sums(requestSum, retrySum, reserveSum);
  }

  /** Adds what another window counted, or takes it away again. */
  void addAll(RetryWindow other, int sign, long nowMillis) {
    for (int i = 0; i < KEPT; i++) {
      int index = bucketOf(other.numbers[i], number(nowMillis));
      if (index >= 0) {
        requests[index] += sign * other.requests[i];
        retries[index] += sign * other.retries[i];
        reserveRetries[index] += sign * other.reserveRetries[i];
      }
    }
  }

  /** Forgets what was counted since the given time, but for the bucket that it is in. */
  void clearSince(long fromMillis) {
    for (int i = 0; i < KEPT; i++) {
      if (numbers[i] > number(fromMillis)) {
        numbers[i] = NO_NUMBER;
      }
    }
  }

  /** Handles what some adjacent buckets counted together. */
  interface Visitor {
    /** Handles counts that are at least {@code ageMillis} old. */
    void visit(long ageMillis, int requests, int retries, int reserveRetries);
  }

  /** Passes on the counts of the window by groups of buckets, without empty ones. */
  void forEachGroup(int bucketsInGroup, long nowMillis, Visitor visitor) {
    long current = number(nowMillis);
    for (int firstAge = 0; firstAge < KEPT; firstAge += bucketsInGroup) {
      int requestSum = 0;
      int retrySum = 0;
      int reserveSum = 0;
      for (int age = firstAge; age < Math.min(KEPT, firstAge + bucketsInGroup); age++) {
        int index = Math.floorMod(current - age, KEPT);
        if (numbers[index] == current - age) {
          requestSum += requests[index];
          retrySum += retries[index];
          reserveSum += reserveRetries[index];
        }
      }
      if (requestSum + retrySum > 0) {
        visitor.visit(firstAge * bucketMillis, requestSum, retrySum, reserveSum);
      }
    }
  }

  private long number(long atMillis) {
    return Math.floorDiv(atMillis, bucketMillis);
  }

  /** Returns the index of a bucket, emptied if it was another's; negative if it is too old. */
  private int bucketOf(long number, long current) {
    if (number <= current - KEPT) {
      return -1;
    }
    int index = Math.floorMod(number, KEPT);
    if (numbers[index] != number) {
      numbers[index] = number;
      requests[index] = 0;
      retries[index] = 0;
      reserveRetries[index] = 0;
    }
    return index;
  }
}
