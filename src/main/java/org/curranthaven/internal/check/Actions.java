package org.curranthaven.internal.check;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;

/** Draws lists of actions from seeds, and shortens lists that break an invariant. */
public final class Actions {
  private static final int MAX_ADVANCE_MILLIS = 40;
  private static final int SHORTEST_CHUNK = 1;

  private Actions() {}

  /** Returns {@code count} actions drawn from the seed. */
  public static List<Action> draw(long seed, int count) {
    SplittableRandom random = new SplittableRandom(seed ^ 0x5DEECE66DL);
    List<Action> actions = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      actions.add(drawOne(random));
    }
    return actions;
  }

  private static Action drawOne(SplittableRandom random) {
    int kind = random.nextInt(1_000);
    int pick = random.nextInt(1 << 20);
    if (kind < 640) {
      // Mostly the oldest messages, so that the group makes progress.
      return new Action.Deliver(random.nextInt(4) == 0 ? pick : 0);
    }
    if (kind < 840) {
      return new Action.Advance(1 + random.nextInt(MAX_ADVANCE_MILLIS));
    }
    if (kind < 910) {
      return new Action.Propose(pick);
    }
    if (kind < 930) {
      return new Action.Drop(pick);
    }
    return kind < 940 ? new Action.Repeat(pick) : drawFault(random, kind - 940, pick);
  }

  private static Action drawFault(SplittableRandom random, int kind, int pick) {
    if (kind < 5) {
      return new Action.Crash(pick, random.nextBoolean());
    }
    if (kind < 35) {
      return new Action.Restart(pick);
    }
    if (kind < 38) {
      return new Action.Cut(pick, random.nextInt(1 << 20));
    }
    if (kind < 42) {
      return new Action.Isolate(pick);
    }
    if (kind < 50) {
      return new Action.Heal();
    }
    if (kind < 51) {
      return new Action.Wipe(pick);
    }
    return kind < 53 ? new Action.Transfer(pick) : new Action.Snapshot(pick);
  }

  /** Returns the violation that the actions bring about, or null. */
  public static @Nullable Violation violation(
      long seed, int replicas, List<Action> actions, InjectedFault breakage) {
    try {
      GroupRun.run(seed, replicas, actions, breakage);
      return null;
    } catch (Violation violation) {
      return violation;
    }
  }

  /** Leaves out what is not needed to bring about a violation, as far as that is quickly found. */
  public static List<Action> shorten(
      long seed, int replicas, List<Action> actions, InjectedFault breakage) {
    List<Action> shortest = new ArrayList<>(actions);
    for (int chunk = shortest.size() / 2; chunk >= SHORTEST_CHUNK; chunk /= 2) {
      for (int from = 0; from < shortest.size(); ) {
        List<Action> without = new ArrayList<>(shortest);
        without.subList(from, Math.min(from + chunk, without.size())).clear();
        if (violation(seed, replicas, without, breakage) != null) {
          shortest = without;
        } else {
          from += chunk;
        }
      }
    }
    return shortest;
  }
}
