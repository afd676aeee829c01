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
 * A model engine on given time: continuous batching in steps, memory blocks that fill as tokens
 * come, preemption when they are full, priorities, a prefix cache, and cancelling. It stands in for
 * real engines in tests, experiments and the demo. Not thread-safe.
 */
public final class EngineModel {
  /** Tokens in one memory block. */
  public static final int TOKENS_PER_BLOCK = 16;

  private final EngineOptions options;
  private final Map<String, Sequence> sequences = new HashMap<>();
  private final List<Sequence> running = new ArrayList<>();
  private final List<Sequence> waiting = new ArrayList<>();
  private final LinkedHashMap<Long, Boolean> prefixes;
  private int blocksUsed;
  private long nextOrder;
  private long stepEndMicros;
  private long preemptions;

  private static final class Sequence {
    final String generation;
    final int promptTokens;
    final int outputTokens;
    final int priority;
    final long prefixHash;
    final long order;
    int produced;
    int blocks;
    int prefillLeft;
    boolean inBatch;

    Sequence(EngineRequest request, long order) {
      this.generation = request.generation();
      this.promptTokens = request.promptTokens();
      this.outputTokens = request.outputTokens();
      this.priority = request.priority();
      this.prefixHash = request.prefixHash();
      this.produced = request.alreadyProduced();
      this.order = order;
    }

    int tokens() {
      return promptTokens + produced;
    }
  }

  /**
   * A generation to run.
   *
   * @param outputTokens its true length, which the engine's clients do not know
   * @param alreadyProduced tokens that another engine produced before
   */
  public record EngineRequest(
      String generation,
      int promptTokens,
      int outputTokens,
      int priority,
      long prefixHash,
      int alreadyProduced) {}

  /** Creates an idle engine. */
  public EngineModel(EngineOptions options) {
    this.options = options;
    this.prefixes =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1;

          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > options.cachedPrefixes();
          }
        };
  }

  /** Takes a generation in. */
  public void submit(EngineRequest request, long nowMicros) {
    if (running.isEmpty() && waiting.isEmpty()) {
      stepEndMicros = Math.max(stepEndMicros, nowMicros);
    }
    Sequence sequence = new Sequence(request, nextOrder++);
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

  /** Returns whether the generation is running or waiting. */
  public boolean knows(String generation) {
    return sequences.containsKey(generation);
  }

  /** Returns memory blocks in use. */
  public int blocksUsed() {
    return blocksUsed;
  }

  /** Returns memory blocks in all. */
  public int blocksTotal() {
    return options.blocksTotal();
  }

  /** Returns the number of sequences that hold memory. */
  public int running() {
    return running.size();
  }

  /** Returns the number of sequences that wait for memory or a place in the batch. */
  public int waiting() {
    return waiting.size();
  }

  /** Returns the number of preemptions so far. */
  public long preemptions() {
    return preemptions;
  }

  /** Returns the prefixes in the cache. */
  public List<Long> cachedPrefixes() {
    return List.copyOf(prefixes.keySet());
  }

  /** Returns when the step under way ends; {@link Long#MAX_VALUE} when the engine is idle. */
  public long nextEventMicros() {
    return running.isEmpty() && waiting.isEmpty() ? Long.MAX_VALUE : stepEndMicros;
  }

  /** Runs every step that ends up to {@code nowMicros}; returns what happened, in order. */
  public List<EngineEvent> advance(long nowMicros) {
    List<EngineEvent> events = new ArrayList<>();
    while (!(running.isEmpty() && waiting.isEmpty()) && stepEndMicros <= nowMicros) {
      step(events);
    }
    return events;
  }

  private void step(List<EngineEvent> events) {
    admit();
    int prefilled = prefill();
    int decoded = decode(events);
    long length =
        options.stepBaseMicros()
            + decoded * options.stepPerSequenceMicros()
            + prefilled * options.prefillMicrosPerToken();
    stepEndMicros += length;
  }

  private void admit() {
    if (options.honoursPriority()) {
      waiting.sort(
          Comparator.<Sequence>comparingInt(s -> s.priority).thenComparingLong(s -> s.order));
    }
    Iterator<Sequence> candidates = waiting.iterator();
    while (candidates.hasNext() && running.size() < options.maxBatch()) {
      Sequence sequence = candidates.next();
      int needed = blocksFor(sequence.tokens() + 1);
      if (blocksUsed + needed > options.blocksTotal()) {
        return;
      }
      candidates.remove();
      sequence.blocks = needed;
      blocksUsed += needed;
      sequence.prefillLeft = prefillTokens(sequence);
      sequence.inBatch = true;
      running.add(sequence);
    }
  }

  private int prefillTokens(Sequence sequence) {
    boolean hit = sequence.prefixHash != 0 && prefixes.get(sequence.prefixHash) != null;
    int saved = hit ? Math.min(options.cachedPrefixTokens(), sequence.promptTokens - 1) : 0;
    if (sequence.prefixHash != 0) {
      prefixes.put(sequence.prefixHash, true);
    }
    return Math.max(1, sequence.tokens() - saved);
  }

  private int prefill() {
    int budget = options.prefillTokensPerStep();
    for (Sequence sequence : running) {
      int part = Math.min(budget, sequence.prefillLeft);
      sequence.prefillLeft -= part;
      budget -= part;
    }
    return options.prefillTokensPerStep() - budget;
  }

  private int decode(List<EngineEvent> events) {
    List<Sequence> ready = running.stream().filter(s -> s.prefillLeft == 0).toList();
    int decoded = 0;
    for (Sequence sequence : ready) {
      if (!sequence.inBatch || !growIfNeeded(sequence, events)) {
        continue;
      }
      decoded++;
      int index = sequence.produced++;
      boolean last = sequence.produced >= sequence.outputTokens;
      events.add(new EngineEvent.Token(sequence.generation, index, last, stepEndMicros));
      if (last) {
        cancel(sequence.generation);
      }
    }
    return decoded;
  }

  /** Takes a block for the next token where one is due; returns false if the sequence lost its. */
  private boolean growIfNeeded(Sequence sequence, List<EngineEvent> events) {
    while (blocksFor(sequence.tokens() + 1) > sequence.blocks) {
      if (blocksUsed < options.blocksTotal()) {
        blocksUsed++;
        sequence.blocks++;
        continue;
      }
      Sequence victim = victim();
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

  /** Returns the sequence of the least urgent priority that came last. */
  private @Nullable Sequence victim() {
    return running.stream()
        .max(
            Comparator.<Sequence>comparingInt(s -> options.honoursPriority() ? s.priority : 0)
                .thenComparingLong(s -> s.order))
        .orElse(null);
  }

  private void preempt(Sequence victim, List<EngineEvent> events) {
    running.remove(victim);
    victim.inBatch = false;
    blocksUsed -= victim.blocks;
    victim.blocks = 0;
    waiting.addFirst(victim);
    preemptions++;
    events.add(new EngineEvent.Preempted(victim.generation, stepEndMicros));
  }

  private static int blocksFor(int tokens) {
    return (tokens + TOKENS_PER_BLOCK - 1) / TOKENS_PER_BLOCK;
  }
}
