package org.curranthaven.internal.standin;

/**
 * Parameters of an {@link EngineModel}; times in microseconds of simulated time.
 *
 * @param blocksTotal number of memory blocks of {@link EngineModel#TOKENS_PER_BLOCK} tokens
 * @param maxBatch largest number of sequences in the batch
 * @param stepBaseMicros duration of an empty step
 * @param stepPerSequenceMicros time added for each sequence that decodes in a step
 * @param prefillMicrosPerToken time added for each prompt token computed in a step
 * @param prefillTokensPerStep largest number of prompt tokens computed in one step
 * @param cachedPrefixes capacity of the prefix cache, in prefixes
 * @param cachedPrefixTokens number of prompt tokens that a prefix cache hit saves
 * @param honoursPriority whether sequences with lower priority values are admitted first and
 *     preempted last
 */
public record EngineOptions(
    int blocksTotal,
    int maxBatch,
    long stepBaseMicros,
    long stepPerSequenceMicros,
    long prefillMicrosPerToken,
    int prefillTokensPerStep,
    int cachedPrefixes,
    int cachedPrefixTokens,
    boolean honoursPriority) {
  public EngineOptions {
    if (blocksTotal <= 0 || maxBatch <= 0 || stepBaseMicros <= 0 || prefillTokensPerStep <= 0) {
      throw new IllegalArgumentException(
          "blocksTotal ("
              + blocksTotal
              + "), maxBatch ("
              + maxBatch
              + "), stepBaseMicros ("
              + stepBaseMicros
              + ") and prefillTokensPerStep ("
              + prefillTokensPerStep
              + ") must be positive");
    }
  }

  /** Returns the options of an engine with steps of about 15 ms and memory for 32,000 tokens. */
  public static EngineOptions standard() {
    return new EngineOptions(2_000, 64, 8_000, 150, 60, 512, 64, 128, true);
  }

  /** Returns a copy with another number of memory blocks. */
  public EngineOptions withBlocks(int blocks) {
    return new EngineOptions(
        blocks,
        maxBatch,
        stepBaseMicros,
        stepPerSequenceMicros,
        prefillMicrosPerToken,
        prefillTokensPerStep,
        cachedPrefixes,
        cachedPrefixTokens,
        honoursPriority);
  }

  /** Returns a copy whose steps take {@code factor} times as long. */
  public EngineOptions slowedBy(double factor) {
    return new EngineOptions(
        blocksTotal,
        maxBatch,
        (long) (stepBaseMicros * factor),
        (long) (stepPerSequenceMicros * factor),
        (long) (prefillMicrosPerToken * factor),
        prefillTokensPerStep,
        cachedPrefixes,
        cachedPrefixTokens,
        honoursPriority);
  }
}
