package org.curranthaven.internal.supervision;

/**
 * Source of the current time for components that own threads. Decision classes get the time as an
 * argument instead, so that they stay deterministic.
 */
public interface Clock {
  /** Returns monotonic time, in milliseconds since an arbitrary origin. */
  long nowMillis();

  /** Returns wall-clock time, in milliseconds since the epoch; may jump in either direction. */
  long epochMillis();

  /** Returns the system clock. */
  static Clock system() {
    return new Clock() {
      @Override
      public long nowMillis() {
        return System.nanoTime() / 1_000_000;
      }

      @Override
      public long epochMillis() {
        return System.currentTimeMillis();
      }
    };
  }
}
