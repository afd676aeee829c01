package org.curranthaven.internal.emulator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What the requests of emulated callers were worth, by kind, cause and time. Not thread-safe. */
public final class Figures {
  /** Length of a window of arrivals. */
  private static final long WINDOW_MILLIS = 2_000;

  private static final int TENTHS = 10;

  private final Map<String, Total> totalsByKind = new TreeMap<>();
  private final Map<Long, Total> totalsByWindow = new TreeMap<>();
  private final Map<String, Map<Cause, Double>> worthLostByKind = new TreeMap<>();
  private final Map<String, Map<Cause, Integer>> countsByKind = new TreeMap<>();
  private final Map<String, List<SizedOutcome>> outcomesByKind = new TreeMap<>();
  private long preemptions;

  /** Memory that a generation fills and what became of it. */
  private record SizedOutcome(int tokens, Cause cause) {}

  /** Worth owed and earned. */
  private static final class Total {
    double owed;
    double earned;

    double share() {
      return owed == 0 ? 1 : earned / owed;
    }
  }

  void record(Arrival arrival, Cause cause, double earned) {
    add(totalsByKind.computeIfAbsent(arrival.kind().name(), name -> new Total()), arrival, earned);
    long window = arrival.atMillis() / WINDOW_MILLIS;
    add(totalsByWindow.computeIfAbsent(window, number -> new Total()), arrival, earned);
    worthLostByKind
        .computeIfAbsent(arrival.kind().name(), name -> new EnumMap<>(Cause.class))
        .merge(cause, arrival.worth() - earned, Double::sum);
    countsByKind
        .computeIfAbsent(arrival.kind().name(), name -> new EnumMap<>(Cause.class))
        .merge(cause, 1, Integer::sum);
    outcomesByKind
        .computeIfAbsent(arrival.kind().name(), name -> new ArrayList<>())
        .add(new SizedOutcome(arrival.promptTokens() + arrival.outputTokens(), cause));
  }

  private static void add(Total total, Arrival arrival, double earned) {
    total.owed += arrival.worth();
    total.earned += earned;
  }

  void recordPreemption() {
    preemptions++;
  }

  /** Returns the number of preemptions on engines. */
  public long preemptions() {
    return preemptions;
  }

  /** Returns the share of the worth owed that was earned. */
  public double worth() {
    Total all = new Total();
    for (Total total : totalsByKind.values()) {
      all.owed += total.owed;
      all.earned += total.earned;
    }
    return all.share();
  }

  /** Returns the worth that was earned, in units of worth. */
  public double earned() {
    return totalsByKind.values().stream().mapToDouble(total -> total.earned).sum();
  }

  /** Returns the share of the worth owed that was earned, by kind. */
  public Map<String, Double> worthByKind() {
    Map<String, Double> worth = new TreeMap<>();
    totalsByKind.forEach((kind, total) -> worth.put(kind, total.share()));
    return worth;
  }

  /** Returns the lowest share among the kinds. */
  public double worstKind() {
    return totalsByKind.values().stream().mapToDouble(Total::share).min().orElse(1);
  }

  /** Returns the share of the worth earned in each window of arrivals, in order. */
  public List<Double> worthByWindow() {
    List<Double> worth = new ArrayList<>();
    totalsByWindow.values().forEach(total -> worth.add(total.share()));
    return worth;
  }

  /** Returns the share of a kind's worth that was lost to each cause. */
  public Map<Cause, Double> lostShares(String kind) {
    Map<Cause, Double> shares = new EnumMap<>(Cause.class);
    double owed = totalsByKind.getOrDefault(kind, new Total()).owed;
    worthLostByKind
        .getOrDefault(kind, Map.of())
        .forEach((cause, lost) -> shares.put(cause, owed == 0 ? 0 : lost / owed));
    return shares;
  }

  /** Returns the number of a kind's requests by cause. */
  public Map<Cause, Integer> counts(String kind) {
    return new EnumMap<>(countsByKind.getOrDefault(kind, new EnumMap<>(Cause.class)));
  }

  /**
   * Returns a kind's requests by cause in each tenth by the memory that they fill, the smallest
   * first.
   */
  public List<Map<Cause, Integer>> countsByTenth(String kind) {
    List<SizedOutcome> bySize = new ArrayList<>(outcomesByKind.getOrDefault(kind, List.of()));
    bySize.sort(Comparator.comparingInt(SizedOutcome::tokens));
    List<Map<Cause, Integer>> counts = new ArrayList<>();
    for (int i = 0; i < TENTHS; i++) {
      Map<Cause, Integer> ofTenth = new EnumMap<>(Cause.class);
      bySize
          .subList(i * bySize.size() / TENTHS, (i + 1) * bySize.size() / TENTHS)
          .forEach(outcome -> ofTenth.merge(outcome.cause(), 1, Integer::sum));
      counts.add(ofTenth);
    }
    return counts;
  }
}
