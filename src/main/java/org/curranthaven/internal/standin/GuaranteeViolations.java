package org.curranthaven.internal.standin;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts violations of the system's guarantees, as observed by callers and backend servers.
 * Thread-safe.
 *
 * <p>The component names of {@link Counts} are written to reports.
 */
public final class GuaranteeViolations {
  final AtomicLong tokensLost = new AtomicLong();
  final AtomicLong tokensRepeated = new AtomicLong();
  final AtomicLong tokensOutOfOrder = new AtomicLong();
  final AtomicLong generationsSpliced = new AtomicLong();
  final AtomicLong answersCrossed = new AtomicLong();
  final AtomicLong doubleRuns = new AtomicLong();
  final AtomicLong falseNotRun = new AtomicLong();
  final AtomicLong cutOffByPlannedStop = new AtomicLong();

  /**
   * The counts at one moment.
   *
   * @param tokensLost tokens missing from responses that were reported as complete
   * @param tokensRepeated tokens delivered more than once
   * @param tokensOutOfOrder tokens delivered before earlier ones
   * @param generationsSpliced changes of the generation within one response
   * @param answersCrossed tokens or responses that belong to another request
   * @param doubleRuns requests with an idempotency key that ran more than once
   * @param falseNotRun requests reported as not run that did run
   * @param cutOffByPlannedStop responses cut off by the planned stop of a host
   */
  public record Counts(
      long tokensLost,
      long tokensRepeated,
      long tokensOutOfOrder,
      long generationsSpliced,
      long answersCrossed,
      long doubleRuns,
      long falseNotRun,
      long cutOffByPlannedStop) {
    /** Returns whether every count is 0. */
    public boolean noViolations() {
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

  /** Returns the current counts. */
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
