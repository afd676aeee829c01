package org.curranthaven.internal.standin;

import java.util.concurrent.atomic.AtomicLong;

/** Breaches of the promises, counted from outside the system. Thread-safe. */
public final class PromiseTally {
  final AtomicLong tokensLost = new AtomicLong();
  final AtomicLong tokensRepeated = new AtomicLong();
  final AtomicLong tokensOutOfOrder = new AtomicLong();
  final AtomicLong generationsSpliced = new AtomicLong();
  final AtomicLong answersCrossed = new AtomicLong();
  final AtomicLong doubleRuns = new AtomicLong();
  final AtomicLong falseNotRun = new AtomicLong();
  final AtomicLong cutOffByPlannedStop = new AtomicLong();

  /** The counts at one moment. */
  public record Counts(
      long tokensLost,
      long tokensRepeated,
      long tokensOutOfOrder,
      long generationsSpliced,
      long answersCrossed,
      long doubleRuns,
      long falseNotRun,
      long cutOffByPlannedStop) {
    /** Returns whether no promise was broken. */
    public boolean allKept() {
      return tokensLost == 0
          && tokensRepeated == 0
          && tokensOutOfOrder == 0
          && generationsSpliced == 0
          && answersCrossed == 0
          && doubleRuns == 0
          && falseNotRun == 0
          && cutOffByPlannedStop == 0;
    }
  }

  /** Returns the counts. */
  public Counts counts() {
    return new Counts(
        tokensLost.get(),
        tokensRepeated.get(),
        tokensOutOfOrder.get(),
        generationsSpliced.get(),
        answersCrossed.get(),
        doubleRuns.get(),
        falseNotRun.get(),
        cutOffByPlannedStop.get());
  }
}
