package org.curranthaven.platform;

/** One monotonic clock for all that a soak records. */
final class SoakClock {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long START_NANOS = System.nanoTime();

  private SoakClock() {}

  static long millis() {
    return (System.nanoTime() - START_NANOS) / NANOS_PER_MILLI;
  }
}
