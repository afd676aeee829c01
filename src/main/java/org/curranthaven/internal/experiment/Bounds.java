package org.curranthaven.internal.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The bounds that the policy in force is held to, from the stated targets. */
public final class Bounds {
  private static final long DOOR_TARGET_MILLIS = 400;

  private Bounds() {}

  /**
   * One bound with what was measured.
   *
   * @param measured measured value
   * @param limit stated limit
   * @param atMost whether the value must not exceed the limit; otherwise it must reach it
   */
  public record Verdict(String name, double measured, double limit, boolean atMost) {
    /** Returns whether the bound holds. */
    public boolean holds() {
      return atMost ? measured <= limit : measured >= limit;
    }
  }

  /** Compares the policy in force with least-load and the oracle; empty if one is missing. */
  public static List<Verdict> verdicts(Map<String, RoutingExperiment.Figures> byPolicy) {
    RoutingExperiment.Figures own = byPolicy.get("curranthaven");
    RoutingExperiment.Figures leastLoad = byPolicy.get("least-load");
    RoutingExperiment.Figures oracle = byPolicy.get("oracle");
    if (own == null || leastLoad == null || oracle == null) {
      return List.of();
    }
    List<Verdict> verdicts = new ArrayList<>();
    verdicts.add(
        atMost("stall, of least-load's", own.stallMillis(), leastLoad.stallMillis(), 0.25));
    verdicts.add(atMost("stall, of the oracle's", own.stallMillis(), oracle.stallMillis(), 1.25));
    verdicts.add(
        atMost("preemptions, of least-load's", own.preemptions(), leastLoad.preemptions(), 0.1));
    verdicts.add(
        atMost("p99.9 gap, of least-load's", own.gapP999Millis(), leastLoad.gapP999Millis(), 0.5));
    verdicts.add(
        atMost(
            "door first reply p99, of 400 ms",
            own.doorFirstReplyP99Millis(),
            DOOR_TARGET_MILLIS,
            1));
    double throughput = own.tokensPerSecond() / Math.max(1, leastLoad.tokensPerSecond());
    verdicts.add(new Verdict("throughput, of least-load's", throughput, 0.98, false));
    return verdicts;
  }

  private static Verdict atMost(String name, long measured, long against, double limit) {
    return new Verdict(name, (double) measured / Math.max(1, against), limit, true);
  }
}
