package org.curranthaven.internal.supervision;

/** Source of the present time for the parts that own threads; decisions get it as an argument. */
public interface Clock {
  /** Returns monotonic time, in milliseconds from an arbitrary start. */
  long nowMillis();

  /** Returns wall-clock time, in milliseconds since the epoch; may jump. */
  long epochMillis();

  /** Returns the clock of this machine. */
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
