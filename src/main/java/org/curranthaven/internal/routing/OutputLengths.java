package org.curranthaven.internal.routing;

/** Distribution of the output length of a request. */
public sealed interface OutputLengths permits LengthModel, OutputLengths.Known {
  /** Sums in {@link #meanRemainingTokens} stop where fewer outputs than this share remain. */
  double NEGLIGIBLE_SURVIVAL = 1e-3;

  /** Longest output considered, in tokens. */
  int MAX_TOKENS = 65_536;

  /** Returns the share of outputs longer than {@code tokens}; above 0. */
  double survival(int tokens);

  /** Returns the expected number of further tokens of an output that has {@code produced}. */
  default double meanRemainingTokens(int produced) {
    double alive = survival(produced);
    double sum = 0;
    int step = 8;
    for (int from = produced; from < MAX_TOKENS; from += step, step += step / 2) {
      double share = survival(from + step / 2) / alive;
      sum += share * step;
      if (share < NEGLIGIBLE_SURVIVAL) {
        break;
      }
    }
    return sum;
  }

  /** An output whose length is told beforehand, as only the oracle of an experiment is. */
  record Known(int tokens) implements OutputLengths {
    @Override
    public double survival(int produced) {
      return produced < tokens ? 1 : 1e-6;
    }
  }
}
