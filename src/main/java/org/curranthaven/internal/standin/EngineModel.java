package org.curranthaven.internal.standin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Simulates a model engine in the time that the caller gives: continuous batching in steps, memory
 * blocks that fill as tokens are produced, preemption when no block is free, priorities, a prefix
 * cache, and cancellation. Used in place of real engines in tests, experiments and the demo. Not
 * thread-safe.
 */
public final class EngineModel {
  /** Number of tokens that one memory block holds. */
  public static final int TOKENS_PER_BLOCK = 16;

  private final EngineOptions options;
  private final Map<String, Sequence> sequences = new HashMap<>();
  private final List<Sequence> running = new ArrayList<>();
  private final List<Sequence> waiting = new ArrayList<>();
  private final LinkedHashMap<Long, Boolean> prefixCache;
  private final Map<String, Integer> reservedBlocks = new HashMap<>();
  private int blocksUsed;
  private long nextArrivalOrder;
  private long stepEndMicros;
  private long preemptionCount;
  private double slowdown = 1;

  /** A generation with its progress and memory. */
  private static final class Sequence {
    final String generation;
    final int promptTokens;
    final int outputTokens;
    final int priority;
    final long prefixHash;
    final long arrivalOrder;
    int producedTokens;
    int presentTokens;
    int blocks;
    int prefillTokensLeft;
    boolean inBatch;

    Sequence(EngineRequest request, long arrivalOrder) {
      this.generation = request.generation();
      this.promptTokens = request.promptTokens();
      this.outputTokens = request.outputTokens();
      this.priority = request.priority();
      this.prefixHash = request.prefixHash();
      this.producedTokens = request.alreadyProducedTokens();
      this.presentTokens = request.presentTokens();
      this.arrivalOrder = arrivalOrder;
    }

    int totalTokens() {
      return promptTokens + producedTokens;
    }
  }

  /**
   * A request for a generation.
   *
   * @param outputTokens actual output length, which the engine's clients do not know
   * @param alreadyProducedTokens output tokens that another engine produced before
   * @param presentTokens tokens of the request's state that this engine holds already; if above 0,
   *     the engine computes only the others, and before those of other requests
   */
  public record EngineRequest(
      String generation,
      int promptTokens,
      int outputTokens,
      int priority,
      long prefixHash,
      int alreadyProducedTokens,
      int presentTokens) {
    /** Creates a request whose state the engine does not hold. */
    public EngineRequest(
        String generation,
        int promptTokens,
        int outputTokens,
        int priority,
        long prefixHash,
        int alreadyProducedTokens) {
      this(generation, promptTokens, outputTokens, priority, prefixHash, alreadyProducedTokens, 0);
    }
  }

  /** Creates an idle engine. */
  public EngineModel(EngineOptions options) {
    this.options = options;
    this.prefixCache =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1;

          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > options.cachedPrefixes();
          }
        };
  }

  /** Adds a generation to the waiting ones. */
  public void submit(EngineRequest request, long nowMicros) {
    if (running.isEmpty() && waiting.isEmpty()) {
      stepEndMicros = Math.max(stepEndMicros, nowMicros);
    }
    Sequence sequence = new Sequence(request, nextArrivalOrder++);
    sequences.put(sequence.generation, sequence);
    waiting.add(sequence);
  }

  /** Stops a generation and frees its memory. */
  public void cancel(String generation) {
    Sequence sequence = sequences.remove(generation);
    if (sequence != null) {
      if (!sequence.inBatch) {
        waiting.remove(sequence);
      } else if (running.remove(sequence)) {
        sequence.inBatch = false;
        blocksUsed -= sequence.blocks;
      }
    }
  }

  /**
   * Reserves memory for the state of a generation that runs on another engine, or changes the size
   * of such a reservation; returns false, and changes nothing, if there is not enough memory.
   */
  public boolean reserve(String key, int tokens) {
    int blocks = blocksFor(tokens);
    int additionalBlocks = blocks - reservedBlocks.getOrDefault(key, 0);
    if (blocksUsed + additionalBlocks > options.blocksTotal()) {
      return false;
    }
    reservedBlocks.put(key, blocks);
    blocksUsed += additionalBlocks;
    return true;
  }

  /** Frees reserved memory; does nothing if there is none for the key. */
  public void release(String key) {
    Integer blocks = reservedBlocks.remove(key);
    if (blocks != null) {
      blocksUsed -= blocks;
    }
  }

  /** Makes every further step take {@code factor} times as long as the options say. */
  public void setSlowdown(double factor) {
    slowdown = factor;
  }

  /** Returns whether the generation is running or waiting. */
  public boolean hasGeneration(String generation) {
    return sequences.containsKey(generation);
  }

  /** Returns the number of memory blocks in use. */
  public int blocksUsed() {
    return blocksUsed;
  }

  /** Returns the total number of memory blocks. */
  public int blocksTotal() {
    return options.blocksTotal();
  }

  /** Returns the number of sequences that hold memory. */
  public int runningCount() {
    return running.size();
  }

  /** Returns the number of sequences that wait for memory or for a slot in the batch. */
  public int waitingCount() {
    return waiting.size();
  }

  /** Returns the number of preemptions so far. */
  public long preemptionCount() {
    return preemptionCount;
  }

  /** Returns the hashes of the prefixes in the cache. */
  public List<Long> cachedPrefixes() {
    return List.copyOf(prefixCache.keySet());
  }

  /** Returns when the current step ends, or {@link Long#MAX_VALUE} if the engine is idle. */
  public long nextEventMicros() {
    return running.isEmpty() && waiting.isEmpty() ? Long.MAX_VALUE : stepEndMicros;
  }

  /** Runs every step that is due by {@code nowMicros} and returns the events in order. */
  public List<EngineEvent> advance(long nowMicros) {
    List<EngineEvent> events = new ArrayList<>();
    while (!(running.isEmpty() && waiting.isEmpty()) && stepEndMicros <= nowMicros) {
      runStep(events);
    }
    return events;
  }

  private void runStep(List<EngineEvent> events) {
    admitWaiting();
    int prefilledTokens = prefill();
    int decodedTokens = decode(events);
    long stepMicros =
        options.stepBaseMicros()
            + decodedTokens * options.stepPerSequenceMicros()
            + prefilledTokens * options.prefillMicrosPerToken();
    stepEndMicros += (long) (stepMicros * slowdown);
  }

  /** Moves waiting sequences into the batch until the next one does not fit. */
  private void admitWaiting() {
    if (options.honoursPriority()) {
      waiting.sort(
          Comparator.<Sequence, Boolean>comparing(s -> s.presentTokens == 0)
              .thenComparingInt(s -> s.priority)
              .thenComparingLong(s -> s.arrivalOrder));
    }
    Iterator<Sequence> candidates = waiting.iterator();
    while (candidates.hasNext() && running.size() < options.maxBatch()) {
      Sequence sequence = candidates.next();
      int blocksNeeded = blocksFor(sequence.totalTokens() + 1);
      if (blocksUsed + blocksNeeded > options.blocksTotal()) {
        return;
      }
      candidates.remove();
      sequence.blocks = blocksNeeded;
      blocksUsed += blocksNeeded;
      sequence.inBatch = true;
      if (sequence.presentTokens > 0) {
        sequence.prefillTokensLeft = Math.max(0, sequence.totalTokens() - sequence.presentTokens);
        // After a preemption, all of the state is computed again.
        sequence.presentTokens = 0;
        running.addFirst(sequence);
      } else {
        sequence.prefillTokensLeft = prefillTokens(sequence);
        running.add(sequence);
      }
    }
  }

  /**
   * Returns the number of tokens to compute before decoding, less those found in the prefix cache,
   * and adds the prompt's prefix to the cache.
   */
  private int prefillTokens(Sequence sequence) {
    boolean cacheHit = sequence.prefixHash != 0 && prefixCache.get(sequence.prefixHash) != null;
    int cachedTokens =
        cacheHit ? Math.min(options.cachedPrefixTokens(), sequence.promptTokens - 1) : 0;
    if (sequence.prefixHash != 0) {
      prefixCache.put(sequence.prefixHash, true);
    }
    return Math.max(1, sequence.totalTokens() - cachedTokens);
  }

  /** Computes prompt tokens within the step's limit and returns how many. */
  private int prefill() {
    int tokensLeft = options.prefillTokensPerStep();
    for (Sequence sequence : running) {
      int computed = Math.min(tokensLeft, sequence.prefillTokensLeft);
      sequence.prefillTokensLeft -= computed;
      tokensLeft -= computed;
    }
    return options.prefillTokensPerStep() - tokensLeft;
  }

  /** Produces a token for each sequence whose prompt is computed; returns the number of tokens. */
  private int decode(List<EngineEvent> events) {
    List<Sequence> ready = running.stream().filter(s -> s.prefillTokensLeft == 0).toList();
    int decoded = 0;
    for (Sequence sequence : ready) {
      if (!sequence.inBatch || !allocateBlocksForNextToken(sequence, events)) {
        continue;
      }
      decoded++;
      int index = sequence.producedTokens++;
      boolean last = sequence.producedTokens >= sequence.outputTokens;
      events.add(new EngineEvent.Token(sequence.generation, index, last, stepEndMicros));
      if (last) {
        cancel(sequence.generation);
      }
    }
    return decoded;
  }

  /**
   * Allocates a block if the next token needs one, preempting other sequences if none is free.
   * Returns whether the sequence can produce its next token.
   */
  private boolean allocateBlocksForNextToken(Sequence sequence, List<EngineEvent> events) {
    while (blocksFor(sequence.totalTokens() + 1) > sequence.blocks) {
      if (blocksUsed < options.blocksTotal()) {
        blocksUsed++;
        sequence.blocks++;
        continue;
      }
      Sequence victim = selectPreemptionVictim();
      if (victim == null || running.size() == 1) {
        return false;
      }
      preempt(victim, events);
      if (victim == sequence) {
        return false;
      }
    }
    return true;
  }

  /** Returns, among the running sequences of the least urgent priority, the latest arrival. */
  private @Nullable Sequence selectPreemptionVictim() {
    return running.stream()
        .max(
            Comparator.<Sequence>comparingInt(s -> options.honoursPriority() ? s.priority : 0)
                .thenComparingLong(s -> s.arrivalOrder))
        .orElse(null);
  }

  private void preempt(Sequence victim, List<EngineEvent> events) {
    running.remove(victim);
    victim.inBatch = false;
    blocksUsed -= victim.blocks;
    victim.blocks = 0;
    waiting.addFirst(victim);
    preemptionCount++;
    events.add(new EngineEvent.Preempted(victim.generation, stepEndMicros));
  }

  private static int blocksFor(int tokens) {
    return (tokens + TOKENS_PER_BLOCK - 1) / TOKENS_PER_BLOCK;
  }
}
