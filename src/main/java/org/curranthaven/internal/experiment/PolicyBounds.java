package org.curranthaven.internal.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The bounds that the policy used by hosts must hold, relative to other policies. */
public final class PolicyBounds {
  private static final long DOOR_FIRST_REPLY_TARGET_MILLIS = 400;

  private PolicyBounds() {}

  /**
   * A bound and the measured value.
   *
   * @param name name of the bound; "of least-load's" means a share of the least-load policy's
   *     figure
   * @param measured measured value
   * @param limit value to compare with
   * @param atMost whether the limit is an upper bound; otherwise it is a lower one
   */
  public record Verdict(String name, double measured, double limit, boolean atMost) {
    /** Returns whether the bound holds. */
    public boolean holds() {
      return atMost ? measured <= limit : measured >= limit;
    }
  }

  /**
   * Compares the policy used by hosts with the least-load and oracle policies; returns an empty
   * list if the figures of one of them are missing.
   */
  public static List<Verdict> evaluate(Map<String, RoutingExperiment.Figures> byPolicy) {
    RoutingExperiment.Figures measured = byPolicy.get("curranthaven");
    RoutingExperiment.Figures leastLoad = byPolicy.get("least-load");
    RoutingExperiment.Figures oracle = byPolicy.get("oracle");
    if (measured == null || leastLoad == null || oracle == null) {
      return List.of();
    }
    List<Verdict> verdicts = new ArrayList<>();
    verdicts.add(
        atMost("stall, of least-load's", measured.stallMillis(), leastLoad.stallMillis(), 0.25));
    verdicts.add(
        atMost("stall, of the oracle's", measured.stallMillis(), oracle.stallMillis(), 1.25));
    verdicts.add(
        atMost(
            "preemptions, of least-load's", measured.preemptions(), leastLoad.preemptions(), 0.1));
    verdicts.add(
        atMost(
            "p99.9 gap, of least-load's",
            measured.gapP999Millis(),
            leastLoad.gapP999Millis(),
            0.5));
    verdicts.add(
        atMost(
            "door first reply p99, of 400 ms",
            measured.doorFirstReplyP99Millis(),
            DOOR_FIRST_REPLY_TARGET_MILLIS,
            1));
    double throughputShare = measured.tokensPerSecond() / Math.max(1, leastLoad.tokensPerSecond());
    verdicts.add(new Verdict("throughput, of least-load's", throughputShare, 0.98, false));
    return verdicts;
  }

  private static Verdict atMost(String name, long measured, long reference, double limit) {
    return new Verdict(name, (double) measured / Math.max(1, reference), limit, true);
  }
}
