package org.curranthaven.internal.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import org.curranthaven.internal.standin.EngineOptions;
import org.curranthaven.internal.standin.WorkKind;

/**
 * What happens in a run: the users' shapes of work, calm or crowded, with and without faults.
 *
 * @param kind what the scenario is about
 * @param user whose shape of work it has
 */
public record Scenario(Kind kind, User user) {
  /** Length of the time in which requests arrive, in milliseconds. */
  public static final long ARRIVAL_MILLIS = 40_000;

  /** When the scenario's own event begins, in milliseconds. */
  static final long EVENT_MILLIS = 15_000;

  /** How long a rush or flood lasts, in milliseconds. */
  static final long EVENT_LENGTH_MILLIS = 10_000;

  /** What a scenario is about. */
  public enum Kind {
    CALM,
    BOARDING_RUSH,
    CHAPTER_FLOOD,
    ENGINE_LOST,
    RECLAIM,
    ALL_FILLING,
    REPORTS_FROZEN,
    CACHE_GAPS,
    SLOW_ENGINE,
    WORKSPACE_FLOOD;

    /** Returns the name as it stands in reports. */
    public String reportName() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
  }

  /** The two users. */
  public enum User {
    GUILD,
    LOUNGE
  }

  /** Returns every scenario. */
  public static List<Scenario> all() {
    List<Scenario> all = new ArrayList<>();
    for (Kind kind : Kind.values()) {
      for (User user : User.values()) {
        all.add(new Scenario(kind, user));
      }
    }
    return all;
  }

  /** Returns the name as it stands in reports. */
  public String name() {
    return user.name().toLowerCase(Locale.ROOT) + "/" + kind.reportName();
  }

  /** Returns the number of engines: the users' sizes of today. */
  int engineCount() {
    return user == User.GUILD ? 10 : 8;
  }

  /** Returns the constants of an engine. */
  EngineOptions engine(int place) {
    EngineOptions options = EngineOptions.standard().withBlocks(user == User.GUILD ? 1_600 : 1_000);
    return kind == Kind.SLOW_ENGINE && place == 0 ? options.slowedBy(3) : options;
  }

  /** Returns the kinds of requests of the user's model, with their shares. */
  List<WorkKind> kinds() {
    return user == User.GUILD
        ? List.of(
            new WorkKind("note", "story", false, true, 100, 60, 0.5, 3),
            new WorkKind("draft", "story", false, true, 200, 500, 0.8, 4),
            new WorkKind("tag", "story", false, true, 300, 20, 0.4, 3))
        : List.of(
            new WorkKind("door", "lounge", false, true, 60, 8, 0.3, 6),
            new WorkKind("note", "lounge", false, true, 120, 50, 0.4, 2.5),
            new WorkKind("summary", "lounge", false, true, 400, 350, 0.7, 1.5));
  }

  /** Returns the mean rate of arrivals in calm, in requests a second. */
  double calmRate() {
    return user == User.GUILD ? 85 : 170;
  }

  /**
   * One request of a run.
   *
   * @param atMillis when it arrives
   * @param kind what it asks
   * @param tokens length of its answer
   * @param prefix number of the prompt's beginning, from a small set
   * @param workspace who asks
   */
  record Arrival(long atMillis, WorkKind kind, int tokens, long prefix, String workspace) {}

  /** Draws the arrivals of a seed. */
  List<Arrival> arrivals(long seed) {
    SplittableRandom random = new SplittableRandom(seed * 7_919 + kind.name().hashCode());
    List<Arrival> arrivals = new ArrayList<>();
    double atMillis = 0;
    while (true) {
      double rate = calmRate() * rateFactor((long) atMillis);
      atMillis += -Math.log(1 - random.nextDouble()) * 1_000 / rate;
      if (atMillis >= ARRIVAL_MILLIS) {
        return arrivals;
      }
      WorkKind drawn = draw((long) atMillis, random);
      arrivals.add(
          new Arrival(
              (long) atMillis,
              drawn,
              drawn.drawTokens(random),
              1 + random.nextInt(40),
              workspace((long) atMillis, random)));
    }
  }

  boolean inEvent(long atMillis) {
    return atMillis >= EVENT_MILLIS && atMillis < EVENT_MILLIS + EVENT_LENGTH_MILLIS;
  }

  private double rateFactor(long atMillis) {
    if (!inEvent(atMillis)) {
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

  private WorkKind draw(long atMillis, SplittableRandom random) {
    List<WorkKind> kinds = kinds();
    if (inEvent(atMillis) && kind == Kind.BOARDING_RUSH && random.nextDouble() < 0.6) {
      return kinds.getFirst();
    }
    if (inEvent(atMillis) && kind == Kind.CHAPTER_FLOOD && random.nextDouble() < 0.4) {
      return longest(kinds);
    }
    double point = random.nextDouble() * kinds.stream().mapToDouble(WorkKind::weight).sum();
    for (WorkKind candidate : kinds) {
      point -= candidate.weight();
      if (point < 0) {
        return candidate;
      }
    }
    return kinds.getLast();
  }

  private static WorkKind longest(List<WorkKind> kinds) {
    return kinds.stream()
        .max(java.util.Comparator.comparingInt(WorkKind::medianTokens))
        .orElseThrow();
  }

  private String workspace(long atMillis, SplittableRandom random) {
    boolean flooding =
        kind == Kind.WORKSPACE_FLOOD && inEvent(atMillis) && random.nextDouble() < 0.45;
    return flooding ? "w0" : "w" + random.nextInt(10);
  }
}
