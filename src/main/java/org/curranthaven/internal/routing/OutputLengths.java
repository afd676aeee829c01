package org.curranthaven.internal.routing;

/** Probability distribution of a request's output length, in tokens. */
public sealed interface OutputLengths permits LengthModel, OutputLengths.Known {
  /** Survival probability below which the sum in {@link #meanRemainingTokens} is cut off. */
  double NEGLIGIBLE_SURVIVAL = 1e-3;

  /** Longest output considered, in tokens. */
  int MAX_TOKENS = 65_536;

  /** Returns the probability that an output is longer than {@code tokens}; always above 0. */
  double survival(int tokens);

  /** Returns the expected number of further tokens of an output of {@code produced} tokens. */
  default double meanRemainingTokens(int produced) {
    double survivalSoFar = survival(produced);
    double sum = 0;
    int step = 8;
    for (int from = produced; from < MAX_TOKENS; from += step, step += step / 2) {
      double conditionalSurvival = survival(from + step / 2) / survivalSoFar;
      sum += conditionalSurvival * step;
      if (conditionalSurvival < NEGLIGIBLE_SURVIVAL) {
        break;
      }
    }
    return sum;
  }

  /** An output of known length, which only the oracle policy of an experiment has. */
  record Known(int tokens) implements OutputLengths {
    @Override
    public double survival(int produced) {
      return produced < tokens ? 1 : 1e-6;
    }
  }
}
