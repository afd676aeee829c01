package org.curranthaven.internal.dispatch;

/** What a response states about how slow the machine of its backend server is at this moment. */
public sealed interface StatedLoad {
  /** The response does not state it. */
  record None() implements StatedLoad {}

  /**
   * Work takes this share of its usual time on that machine.
   *
   * @param percent 100 if it takes as long as usual
   */
  record Slowness(int percent) implements StatedLoad {
    /** Creates a statement; the percentage is above 0. */
    public Slowness {
      if (percent <= 0) {
        throw new IllegalArgumentException(
            "a slowness of " + percent + "% was stated; it must be above 0");
      }
    }
  }
}
