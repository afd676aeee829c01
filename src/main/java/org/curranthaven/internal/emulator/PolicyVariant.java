package org.curranthaven.internal.emulator;

import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import org.curranthaven.internal.dispatch.DispatchCore;
import org.curranthaven.internal.dispatch.Mechanism;
import org.curranthaven.internal.dispatch.RetryLimits;
import org.curranthaven.internal.dispatch.SharedKnowledge;

/**
 * A policy to compare.
 *
 * @param label name in reports
 * @param disabled mechanisms of the dispatch core that are switched off
 * @param leastOutstanding whether the baseline places the requests instead of the dispatch core
 * @param oracle whether output lengths are known ahead and no state is lost with an engine; gives
 *     an upper bound
 */
public record PolicyVariant(
    String label, Set<Mechanism> disabled, boolean leastOutstanding, boolean oracle) {
  private static final RetryLimits RETRY_LIMITS = new RetryLimits(0.2, 56, 10_000);

  public PolicyVariant {
    disabled = Set.copyOf(disabled);
  }

  /** Returns the policy that serves. */
  public static PolicyVariant serving() {
    return new PolicyVariant("serving", Set.of(), false, false);
  }

  /** Returns the policy that serves, without one mechanism. */
  public static PolicyVariant without(Mechanism mechanism) {
    String name = mechanism.name().toLowerCase(Locale.ROOT).replace('_', '-');
    return new PolicyVariant("without " + name, EnumSet.of(mechanism), false, false);
  }

  /** Returns the baseline with the given name. */
  public static PolicyVariant baseline(String name) {
    return switch (name) {
      case "least-outstanding" -> new PolicyVariant(name, Set.of(), true, false);
      case "first-come" ->
          new PolicyVariant(
              name, EnumSet.of(Mechanism.DUE_TIME_ORDER, Mechanism.EARLY_REJECTION), false, false);
      case "oracle" -> new PolicyVariant(name, Set.of(), false, true);
      default ->
          throw new IllegalArgumentException(
              "unknown policy '" + name + "'; known: least-outstanding, first-come, oracle");
    };
  }

  PlacementPolicy create(SplittableRandom random) {
    return leastOutstanding
        ? new LeastOutstandingPolicy()
        : new CorePolicy(
            new DispatchCore(RETRY_LIMITS, 1, random, disabled, SharedKnowledge.ofScheduler()));
  }
}
