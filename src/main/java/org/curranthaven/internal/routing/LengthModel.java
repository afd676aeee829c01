package org.curranthaven.internal.routing;

import org.HdrHistogram.Histogram;

/**
 * Running distribution of output lengths of one class on one model.
 *
 * <p>Before enough outputs were seen, it is blended with an exponential distribution whose mean is
 * {@link #PRIOR_MEAN_TOKENS}. Older outputs are forgotten: two windows are kept, and the older is
 * dropped when the newer is full. Not thread-safe.
 */
public final class LengthModel implements OutputLengths {
  /** Mean of the distribution assumed before any output was seen, in tokens. */
  static final double PRIOR_MEAN_TOKENS = 256;

  /** Weight of that distribution, in outputs. */
  static final double PRIOR_WEIGHT = 4;

  /** Outputs in a full window. */
  static final int WINDOW_OUTPUTS = 2_000;

  /** Longest output that the model tells apart, in tokens. */
  static final int MAX_TOKENS = 65_536;

  private static final int REBUILD_INTERVAL_OUTPUTS = 16;
  private static final int STEPS_PER_DOUBLING = 4;
  private static final int SURVIVAL_TABLE_SIZE = 17 * STEPS_PER_DOUBLING + 1;

  private Histogram newerWindow = new Histogram(MAX_TOKENS, 2);
  private Histogram olderWindow = new Histogram(MAX_TOKENS, 2);
  private final double[] survivalTable = new double[SURVIVAL_TABLE_SIZE];
  private int outputsSinceRebuild;

  /** Creates a model that has seen no output. */
  public LengthModel() {
    rebuildTable();
  }

  /** Notes the length of a complete output. */
  public void record(int tokens) {
    newerWindow.recordValue(Math.clamp(tokens, 1, MAX_TOKENS));
    if (newerWindow.getTotalCount() >= WINDOW_OUTPUTS) {
      Histogram dropped = olderWindow;
      olderWindow = newerWindow;
      dropped.reset();
      newerWindow = dropped;
    }
    if (++outputsSinceRebuild >= REBUILD_INTERVAL_OUTPUTS
        || outputCount() < REBUILD_INTERVAL_OUTPUTS) {
      rebuildTable();
    }
  }

  /** Returns the number of outputs the model rests on. */
  public long outputCount() {
    return newerWindow.getTotalCount() + olderWindow.getTotalCount();
  }

  @Override
  public double survival(int tokens) {
    if (tokens <= 0) {
      return 1;
    }
    double position = tablePosition(tokens);
    int below = Math.min((int) position, SURVIVAL_TABLE_SIZE - 2);
    double fraction = Math.min(1, position - below);
    return survivalTable[below] + fraction * (survivalTable[below + 1] - survivalTable[below]);
  }

  private void rebuildTable() {
    outputsSinceRebuild = 0;
    double total = outputCount() + PRIOR_WEIGHT;
    for (int i = 0; i < SURVIVAL_TABLE_SIZE; i++) {
      int tokens = tokensAt(i);
      double prior = Math.exp(-tokens / PRIOR_MEAN_TOKENS);
      survivalTable[i] =
          (countAbove(newerWindow, tokens)
                  + countAbove(olderWindow, tokens)
                  + PRIOR_WEIGHT * prior
                  + 1e-6)
              / (total + 1e-6);
    }
  }

  private static long countAbove(Histogram histogram, int tokens) {
    return histogram.getTotalCount() == 0
        ? 0
        : histogram.getTotalCount() - histogram.getCountBetweenValues(0, tokens);
  }

  private static int tokensAt(int index) {
    return (int) Math.round(Math.pow(2, (double) index / STEPS_PER_DOUBLING)) - 1;
  }

  private static double tablePosition(int tokens) {
    return Math.log(tokens + 1.0) / Math.log(2) * STEPS_PER_DOUBLING;
  }
}
