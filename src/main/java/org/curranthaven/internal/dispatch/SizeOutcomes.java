package org.curranthaven.internal.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.curranthaven.internal.transport.wire.PlacementRequest;

/**
 * Counts what becomes of requests to engines by the size of their prompts, to show whether large
 * ones are served less often, and at which step they are lost. Not thread-safe.
 */
final class SizeOutcomes {
  /** Time over which decisions are counted before they are reported. */
  private static final long REPORT_INTERVAL_MILLIS = 10_000;

  /** What became of a request at one step; a request that was broken off was placed before. */
  enum Result {
    PLACED_AT_ONCE,
    PLACED_AFTER_WAITING,
    PLACED_LATE,
    /** Rejected on arrival: its own prompt takes longer than its target leaves. */
    REJECTED_PROMPT_TOO_LONG,
    /** Rejected on arrival: capacity is not expected in time. */
    REJECTED_BEFORE_WAITING,
    REJECTED_AFTER_WAITING,
    LEFT_QUEUE,
    BROKEN_OFF
  }

  /**
   * Requests that are counted together.
   *
   * @param maxPromptTokens the smallest power of two that is not below the prompt's length
   */
  private record SizeClass(String service, int priority, int maxPromptTokens) {
    static SizeClass of(PlacementRequest request) {
      int tokens = Math.max(1, request.getPromptTokens());
      int below = Integer.highestOneBit(tokens);
      return new SizeClass(
          request.getService(), request.getPriority(), tokens == below ? tokens : 2 * below);
    }
  }

  private static final Comparator<SizeClass> BY_SIZE =
      Comparator.comparing(SizeClass::service)
          .thenComparingInt(SizeClass::priority)
          .thenComparingInt(SizeClass::maxPromptTokens);

  private final Map<SizeClass, Map<Result, Integer>> counts = new HashMap<>();
  private long reportedAtMillis;

  void record(PlacementRequest request, Result result) {
    if (request.getEngine()) {
      counts
          .computeIfAbsent(SizeClass.of(request), key -> new EnumMap<>(Result.class))
          .merge(result, 1, Integer::sum);
    }
  }

  /** Records the end of a running request, if it was broken off. */
  void recordEnd(PlacementRequest request, DispatchOutcome outcome) {
    switch (outcome) {
      case DISPATCH_OUTCOME_FAILED,
          DISPATCH_OUTCOME_UNREACHABLE,
          DISPATCH_OUTCOME_CONNECTION_LOST ->
          record(request, Result.BROKEN_OFF);
      default -> {}
    }
  }

  /** Returns and clears the counts, one line for each size, if the interval is over. */
  List<String> drain(long nowMillis) {
    if (nowMillis - reportedAtMillis < REPORT_INTERVAL_MILLIS) {
      return List.of();
    }
    reportedAtMillis = nowMillis;
    List<String> lines = new ArrayList<>();
    counts.keySet().stream()
        .sorted(BY_SIZE)
        .forEach(
            size ->
                lines.add(
                    "requests by size: service %s, priority %d, prompts of up to %d tokens: %s"
                        .formatted(
                            size.service(),
                            size.priority(),
                            size.maxPromptTokens(),
                            counts.get(size))));
    counts.clear();
    return lines;
  }
}
