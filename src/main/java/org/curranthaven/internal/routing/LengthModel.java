package org.curranthaven.internal.routing;

import org.HdrHistogram.Histogram;

/**
 * Empirical distribution of the output lengths of one service class on one model.
 *
 * <p>The observed lengths are blended with an exponential prior distribution whose mean is {@link
 * #PRIOR_MEAN_TOKENS}, so that estimates are usable before many outputs have been recorded. Old
 * outputs are discarded: there are two windows, and the older one is cleared when the newer one is
 * full. Not thread-safe.
 */
public final class LengthModel implements OutputLengths {
  /** Mean of the prior distribution, in tokens. */
  static final double PRIOR_MEAN_TOKENS = 256;

  /** Weight of the prior distribution, in outputs. */
  static final double PRIOR_WEIGHT = 4;

  /** Number of outputs in a full window. */
  static final int WINDOW_OUTPUTS = 2_000;

  /** Longest output that the model distinguishes, in tokens; longer ones count as this long. */
  static final int MAX_TOKENS = 65_536;

  /** Number of outputs recorded between two rebuilds of the survival table. */
  private static final int REBUILD_INTERVAL_OUTPUTS = 16;

  /** Table entries per doubling of the output length. */
  private static final int STEPS_PER_DOUBLING = 4;

  private static final int SURVIVAL_TABLE_SIZE = 17 * STEPS_PER_DOUBLING + 1;

  private Histogram newerWindow = new Histogram(MAX_TOKENS, 2);
  private Histogram olderWindow = new Histogram(MAX_TOKENS, 2);
  private final double[] survivalTable = new double[SURVIVAL_TABLE_SIZE];
  private int outputsSinceRebuild;

  /** Creates a model without recorded outputs. */
  public LengthModel() {
    rebuildTable();
  }

  /** Records the length of a complete output. */
  public void record(int tokens) {
    newerWindow.recordValue(Math.clamp(tokens, 1, MAX_TOKENS));
    if (newerWindow.getTotalCount() >= WINDOW_OUTPUTS) {
      Histogram recycled = olderWindow;
      olderWindow = newerWindow;
      recycled.reset();
      newerWindow = recycled;
    }
    if (++outputsSinceRebuild >= REBUILD_INTERVAL_OUTPUTS
        || outputCount() < REBUILD_INTERVAL_OUTPUTS) {
      rebuildTable();
    }
  }

  /** Returns the number of recorded outputs that the model is based on. */
  public long outputCount() {
    return newerWindow.getTotalCount() + olderWindow.getTotalCount();
  }

  @Override
  public double survival(int tokens) {
    if (tokens <= 0) {
      return 1;
    }
    double position = tablePosition(tokens);
    int lowerIndex = Math.min((int) position, SURVIVAL_TABLE_SIZE - 2);
    double fraction = Math.min(1, position - lowerIndex);
    return survivalTable[lowerIndex]
        + fraction * (survivalTable[lowerIndex + 1] - survivalTable[lowerIndex]);
  }

  private void rebuildTable() {
    outputsSinceRebuild = 0;
    double totalWeight = outputCount() + PRIOR_WEIGHT;
    for (int i = 0; i < SURVIVAL_TABLE_SIZE; i++) {
      int tokens = tokensAt(i);
      double prior = StrictMath.exp(-tokens / PRIOR_MEAN_TOKENS);
      survivalTable[i] =
          (countAbove(newerWindow, tokens)
                  + countAbove(olderWindow, tokens)
                  + PRIOR_WEIGHT * prior
                  + 1e-6)
              / (totalWeight + 1e-6);
    }
  }

  private static long countAbove(Histogram histogram, int tokens) {
    return histogram.getTotalCount() == 0
        ? 0
        : histogram.getTotalCount() - histogram.getCountBetweenValues(0, tokens);
  }

  private static int tokensAt(int index) {
    return (int) Math.round(StrictMath.pow(2, (double) index / STEPS_PER_DOUBLING)) - 1;
  }

  /**
   * Returns the fractional index of a length in the survival table, the inverse of {@link
   * #tokensAt}.
   */
  private static double tablePosition(int tokens) {
    return StrictMath.log(tokens + 1.0) / StrictMath.log(2) * STEPS_PER_DOUBLING;
  }
}
