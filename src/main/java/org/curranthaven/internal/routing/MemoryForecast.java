package org.curranthaven.internal.routing;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Arrays;

/**
 * Forecast of the memory blocks that a set of running requests uses, at several numbers of further
 * tokens: mean and variance at each.
 *
 * <p>Requests in a batch advance one token a step together, so that one horizon in tokens fits all.
 */
public final class MemoryForecast {
  /** Horizons of the forecast, in tokens from now. */
  static final int[] HORIZON_TOKENS = {
    0, 16, 32, 64, 96, 128, 192, 256, 384, 512, 768, 1_024, 1_536, 2_048, 3_072, 4_096, 6_144, 8_192
  };

  /** Tokens in one memory block. */
  public static final int TOKENS_PER_BLOCK = 16;

  private final double[] meanBlocks = new double[HORIZON_TOKENS.length];
  private final double[] varianceBlocks = new double[HORIZON_TOKENS.length];

  /** Creates the forecast of no request. */
  public MemoryForecast() {}

  /** Creates a forecast from what {@link #means} and {@link #variances} returned elsewhere. */
  @JsonCreator
  public static MemoryForecast of(
      @JsonProperty("means") double[] means, @JsonProperty("variances") double[] variances) {
    MemoryForecast result = new MemoryForecast();
    int count = HORIZON_TOKENS.length;
    System.arraycopy(means, 0, result.meanBlocks, 0, Math.min(count, means.length));
    System.arraycopy(variances, 0, result.varianceBlocks, 0, Math.min(count, variances.length));
    return result;
  }

  /** Returns mean blocks at each horizon. */
  @JsonProperty
  public double[] means() {
    return Arrays.copyOf(meanBlocks, meanBlocks.length);
  }

  /** Returns the variance at each horizon, in blocks squared. */
  @JsonProperty
  public double[] variances() {
    return Arrays.copyOf(varianceBlocks, varianceBlocks.length);
  }

  /** Sets the forecast to that of no request. */
  void clear() {
    Arrays.fill(meanBlocks, 0);
    Arrays.fill(varianceBlocks, 0);
  }

  /**
   * Adds a request that holds {@code tokensNow} tokens, of which it produced {@code produced}, and
   * whose length follows {@code lengths}.
   */
  void add(OutputLengths lengths, int tokensNow, int produced, int maxOutputTokens) {
    double alive = lengths.survival(produced);
    int left = Math.max(1, maxOutputTokens - produced);
    for (int i = 0; i < HORIZON_TOKENS.length && HORIZON_TOKENS[i] < left; i++) {
      double p = i == 0 ? 1 : lengths.survival(produced + HORIZON_TOKENS[i]) / alive;
      double blocks = blocksOf(tokensNow + Math.min(left, intervalMidpoint(i)));
      meanBlocks[i] += p * blocks;
      varianceBlocks[i] += p * (1 - p) * blocks * blocks;
    }
  }

  /** Returns the middle of the stretch that begins at a horizon: memory grows within it. */
  private static int intervalMidpoint(int i) {
    int next = i + 1 < HORIZON_TOKENS.length ? HORIZON_TOKENS[i + 1] : HORIZON_TOKENS[i];
    return (HORIZON_TOKENS[i] + next) / 2;
  }

  /** Adds another forecast. */
  void add(MemoryForecast other) {
    for (int i = 0; i < HORIZON_TOKENS.length; i++) {
      meanBlocks[i] += other.meanBlocks[i];
      varianceBlocks[i] += other.varianceBlocks[i];
    }
  }

  /**
   * Returns the highest forecast use of this and {@code added} together over all horizons, at
   * {@code deviations} standard deviations above the mean, with {@code extraBlocks} used
   * throughout.
   */
  double peakBlocks(MemoryForecast added, double deviations, double extraBlocks) {
    double peak = 0;
    for (int i = 0; i < HORIZON_TOKENS.length; i++) {
      double mean = meanBlocks[i] + added.meanBlocks[i];
      double variance = varianceBlocks[i] + added.varianceBlocks[i];
      peak = Math.max(peak, mean + deviations * Math.sqrt(variance));
    }
    return peak + extraBlocks;
  }

  /** Returns the blocks used now. */
  double currentBlocks() {
    return meanBlocks[0];
  }

  /** Returns the blocks that {@code tokens} tokens take. */
  public static int blocksOf(int tokens) {
    return (tokens + TOKENS_PER_BLOCK - 1) / TOKENS_PER_BLOCK;
  }
}
