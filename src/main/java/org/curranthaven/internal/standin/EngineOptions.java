package org.curranthaven.internal.standin;

/**
 * Constants of the engine model. Times are in microseconds of given time.
 *
 * @param blocksTotal memory blocks of {@link EngineModel#TOKENS_PER_BLOCK} tokens
 * @param maxBatch most sequences that hold memory at once
 * @param stepBaseMicros time of a step with nothing to do
 * @param stepPerSequenceMicros added time for each sequence that decodes in the step
 * @param prefillMicrosPerToken added time for each prompt token computed in the step
 * @param prefillTokensPerStep most prompt tokens computed in one step
 * @param cachedPrefixes prefixes kept in the prefix cache
 * @param cachedPrefixTokens prompt tokens that a prefix hit saves
 * @param honoursPriority whether lower priorities are admitted first and preempted last
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
      throw new IllegalArgumentException("an engine needs memory, a batch and steps");
    }
  }

  /** Returns an engine whose steps take about 15 ms and whose memory holds 32,000 tokens. */
  public static EngineOptions standard() {
    return new EngineOptions(2_000, 64, 8_000, 150, 60, 512, 64, 128, true);
  }

  /** Returns the same engine with other memory. */
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

  /** Returns the same engine with steps {@code factor} times as long. */
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
