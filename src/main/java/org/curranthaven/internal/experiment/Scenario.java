package org.curranthaven.internal.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import org.curranthaven.internal.standin.EngineOptions;
import org.curranthaven.internal.standin.RequestKind;

/**
 * The conditions of a simulated run: a workload, its load over time, and faults.
 *
 * @param kind event or fault of the scenario
 * @param workload kinds of requests and number of engines
 */
public record Scenario(Kind kind, Workload workload) {
  /** How long requests arrive. */
  public static final long ARRIVAL_DURATION_MILLIS = 40_000;

  /** Start of the scenario's event. */
  static final long EVENT_START_MILLIS = 15_000;

  /** Duration of a load peak or of frozen reports. */
  static final long EVENT_DURATION_MILLIS = 10_000;

  /** The event or fault of a scenario. */
  public enum Kind {
    /** Base rate, without a fault. */
    CALM,
    /** Load peak, mostly of the workload's first kind of request. */
    BOARDING_RUSH,
    /** Load peak with many requests of the kind that has the longest output. */
    CHAPTER_FLOOD,
    /** One engine stops without notice. */
    ENGINE_LOST,
    /** One engine is reclaimed: it accepts no new requests, and stops after the notice period. */
    RECLAIM,
    /** Rate above the base rate throughout, with a load peak. */
    ALL_FILLING,
    /** The engines repeat outdated load reports during the event. */
    REPORTS_FROZEN,
    /** Half of the prefix cache events are lost, throughout. */
    CACHE_GAPS,
    /** One engine is slower than the others, throughout. */
    SLOW_ENGINE,
    /** Load peak in which one workspace sends about half of the requests. */
    WORKSPACE_FLOOD;

    /** Returns the name as written to reports. */
    public String reportName() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
  }

  /** The two workloads. */
  public enum Workload {
    /** Requests for the model {@code story}, with long outputs. */
    GUILD,
    /** Requests for the model {@code lounge}, with shorter outputs. */
    LOUNGE
  }

  /** Returns every combination of kind and workload. */
  public static List<Scenario> all() {
    List<Scenario> scenarios = new ArrayList<>();
    for (Kind kind : Kind.values()) {
      for (Workload workload : Workload.values()) {
        scenarios.add(new Scenario(kind, workload));
      }
    }
    return scenarios;
  }

  /** Returns the name as written to reports, as workload/kind. */
  public String name() {
    return workload.name().toLowerCase(Locale.ROOT) + "/" + kind.reportName();
  }

  /** Returns the number of engines, which is that of the workload's present deployment. */
  int engineCount() {
    return workload == Workload.GUILD ? 10 : 8;
  }

  /** Returns the options of the engine at the index. */
  EngineOptions engineOptions(int index) {
    EngineOptions options =
        EngineOptions.standard().withBlocks(workload == Workload.GUILD ? 1_600 : 1_000);
    return kind == Kind.SLOW_ENGINE && index == 0 ? options.slowedBy(3) : options;
  }

  /** Returns the kinds of requests of the workload, with their relative frequencies. */
  List<RequestKind> requestKinds() {
    return workload == Workload.GUILD
        ? List.of(
            new RequestKind("note", "story", false, true, 100, 60, 0.5, 3),
            new RequestKind("draft", "story", false, true, 200, 500, 0.8, 4),
            new RequestKind("tag", "story", false, true, 300, 20, 0.4, 3))
        : List.of(
            new RequestKind("door", "lounge", false, true, 60, 8, 0.3, 6),
            new RequestKind("note", "lounge", false, true, 120, 50, 0.4, 2.5),
            new RequestKind("summary", "lounge", false, true, 400, 350, 0.7, 1.5));
  }

  /** Returns the mean arrival rate outside the event. */
  double baseRequestsPerSecond() {
    return workload == Workload.GUILD ? 85 : 170;
  }

  /**
   * The arrival of a request.
   *
   * @param atMillis arrival time
   * @param requestKind kind of the request
   * @param outputTokens output length
   * @param prefixId id of the prompt's prefix, from a small set
   * @param workspace workspace that sends the request
   */
  record Arrival(
      long atMillis, RequestKind requestKind, int outputTokens, long prefixId, String workspace) {}

  /** Draws the arrivals; the same seed gives the same arrivals. */
  List<Arrival> arrivals(long seed) {
    SplittableRandom random = new SplittableRandom(seed * 7_919 + kind.name().hashCode());
    List<Arrival> arrivals = new ArrayList<>();
    double atMillis = 0;
    while (true) {
      double requestsPerSecond = baseRequestsPerSecond() * rateFactor((long) atMillis);
      atMillis += -StrictMath.log(1 - random.nextDouble()) * 1_000 / requestsPerSecond;
      if (atMillis >= ARRIVAL_DURATION_MILLIS) {
        return arrivals;
      }
      RequestKind requestKind = drawRequestKind((long) atMillis, random);
      arrivals.add(
          new Arrival(
              (long) atMillis,
              requestKind,
              requestKind.drawOutputTokens(random),
              1 + random.nextInt(40),
              drawWorkspace((long) atMillis, random)));
    }
  }

  boolean isDuringEvent(long atMillis) {
    return atMillis >= EVENT_START_MILLIS && atMillis < EVENT_START_MILLIS + EVENT_DURATION_MILLIS;
  }

  private double rateFactor(long atMillis) {
    if (!isDuringEvent(atMillis)) {
      return kind == Kind.ALL_FILLING ? 1.3 : 1;
    }
    return switch (kind) {
      case BOARDING_RUSH -> 2.5;
      case CHAPTER_FLOOD -> 1.6;
      case WORKSPACE_FLOOD -> 1.8;
      case ALL_FILLING -> 1.6;
      default -> 1;
    };
  }

  private RequestKind drawRequestKind(long atMillis, SplittableRandom random) {
    List<RequestKind> kinds = requestKinds();
    if (isDuringEvent(atMillis) && kind == Kind.BOARDING_RUSH && random.nextDouble() < 0.6) {
      return kinds.getFirst();
    }
    if (isDuringEvent(atMillis) && kind == Kind.CHAPTER_FLOOD && random.nextDouble() < 0.4) {
      return kindWithLongestOutput(kinds);
    }
    double point = random.nextDouble() * kinds.stream().mapToDouble(RequestKind::weight).sum();
    for (RequestKind candidate : kinds) {
      point -= candidate.weight();
      if (point < 0) {
        return candidate;
      }
    }
    return kinds.getLast();
  }

  private static RequestKind kindWithLongestOutput(List<RequestKind> kinds) {
    return kinds.stream()
        .max(java.util.Comparator.comparingInt(RequestKind::medianOutputTokens))
        .orElseThrow();
  }

  private String drawWorkspace(long atMillis, SplittableRandom random) {
    boolean flooding =
        kind == Kind.WORKSPACE_FLOOD && isDuringEvent(atMillis) && random.nextDouble() < 0.45;
    return flooding ? "w0" : "w" + random.nextInt(10);
  }
}
