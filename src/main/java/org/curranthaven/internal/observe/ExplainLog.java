package org.curranthaven.internal.observe;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps the decisions made for the latest requests, for the command {@code explain}. The request
 * added first is evicted first. Thread-safe.
 */
public final class ExplainLog {
  /** Number of requests whose decisions one host keeps. */
  static final int MAX_REQUESTS = 10_000;

  private final Map<String, List<Entry>> byRequest = new LinkedHashMap<>();

  /**
   * One decision.
   *
   * @param epochMillis when the decision was made, in epoch milliseconds
   * @param decision what was decided
   * @param figures values that the decision was based on
   */
  public record Entry(long epochMillis, String decision, Object figures) {}

  /** Records a decision made for a request. */
  public synchronized void add(String requestName, Entry entry) {
    byRequest.computeIfAbsent(requestName, name -> new ArrayList<>(2)).add(entry);
    if (byRequest.size() > MAX_REQUESTS) {
      byRequest.remove(byRequest.keySet().iterator().next());
    }
  }

  /** Returns the decisions made for a request, oldest first. */
  public synchronized List<Entry> entries(String requestName) {
    return List.copyOf(byRequest.getOrDefault(requestName, List.of()));
  }
}
