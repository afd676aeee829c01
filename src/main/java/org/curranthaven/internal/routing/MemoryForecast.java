package org.curranthaven.internal.routing;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Arrays;

/**
 * Forecast of the memory blocks that a set of running requests will use: mean and variance at
 * several horizons, each a number of further tokens.
 *
 * <p>All requests of a batch advance by one token per step, so one horizon in tokens applies to all
 * of them. Not thread-safe.
 */
public final class MemoryForecast {
  /** Horizons of the forecast, in further tokens per request. */
  static final int[] HORIZON_TOKENS = {
    0, 16, 32, 64, 96, 128, 192, 256, 384, 512, 768, 1_024, 1_536, 2_048, 3_072, 4_096, 6_144, 8_192
  };

  /** Tokens in one memory block. */
  public static final int TOKENS_PER_BLOCK = 16;

  private final double[] meanBlocks = new double[HORIZON_TOKENS.length];
  private final double[] varianceBlocks = new double[HORIZON_TOKENS.length];

  /** Creates the forecast of an empty set of requests. */
  public MemoryForecast() {}

  /**
   * Creates a forecast from the {@link #means} and {@link #variances} of another host's forecast.
   */
  @JsonCreator
  public static MemoryForecast of(
      @JsonProperty("means") double[] means, @JsonProperty("variances") double[] variances) {
    MemoryForecast result = new MemoryForecast();
    int count = HORIZON_TOKENS.length;
    System.arraycopy(means, 0, result.meanBlocks, 0, Math.min(count, means.length));
    System.arraycopy(variances, 0, result.varianceBlocks, 0, Math.min(count, variances.length));
    return result;
  }

  /** Returns the mean number of blocks at each horizon. */
  @JsonProperty
  public double[] means() {
    return Arrays.copyOf(meanBlocks, meanBlocks.length);
  }

  /** Returns the variance at each horizon, in blocks squared. */
  @JsonProperty
  public double[] variances() {
    return Arrays.copyOf(varianceBlocks, varianceBlocks.length);
  }

  /** Resets this to the forecast of an empty set of requests. */
  void clear() {
    Arrays.fill(meanBlocks, 0);
    Arrays.fill(varianceBlocks, 0);
  }

  /**
   * Adds a request.
   *
   * @param outputLengths distribution of its output length
   * @param currentTokens tokens that it holds in memory, prompt included
   * @param producedTokens output tokens produced so far
   * @param maxOutputTokens largest output allowed, in tokens
   */
  void add(
      OutputLengths outputLengths, int currentTokens, int producedTokens, int maxOutputTokens) {
    double survivalSoFar = outputLengths.survival(producedTokens);
    int remainingTokens = Math.max(1, maxOutputTokens - producedTokens);
    for (int i = 0; i < HORIZON_TOKENS.length && HORIZON_TOKENS[i] < remainingTokens; i++) {
      double stillRunning =
          i == 0 ? 1 : outputLengths.survival(producedTokens + HORIZON_TOKENS[i]) / survivalSoFar;
      double blocks = blocksOf(currentTokens + Math.min(remainingTokens, intervalMidpoint(i)));
      meanBlocks[i] += stillRunning * blocks;
      varianceBlocks[i] += stillRunning * (1 - stillRunning) * blocks * blocks;
    }
  }

  /**
   * Returns the midpoint between a horizon and the next one, in tokens: memory grows within the
   * interval.
   */
  private static int intervalMidpoint(int horizonIndex) {
    int from = HORIZON_TOKENS[horizonIndex];
    int to = horizonIndex + 1 < HORIZON_TOKENS.length ? HORIZON_TOKENS[horizonIndex + 1] : from;
    return (from + to) / 2;
  }

  /** Adds the requests of another forecast. */
  void add(MemoryForecast other) {
    for (int i = 0; i < HORIZON_TOKENS.length; i++) {
      meanBlocks[i] += other.meanBlocks[i];
      varianceBlocks[i] += other.varianceBlocks[i];
    }
  }

  /**
   * Returns the highest forecast memory use over all horizons, in blocks.
   *
   * @param added forecast of further requests that run at the same time
   * @param deviations number of standard deviations above the mean
   * @param extraBlocks blocks in use at every horizon besides those of the two forecasts
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

  /** Returns the number of blocks in use now. */
  double currentBlocks() {
    return meanBlocks[0];
  }

  /** Returns the number of blocks that {@code tokens} tokens occupy. */
  public static int blocksOf(int tokens) {
    return (tokens + TOKENS_PER_BLOCK - 1) / TOKENS_PER_BLOCK;
  }
}
