package org.curranthaven.internal.check;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;

/** Draws action lists from seeds, and minimizes lists that violate an invariant. */
public final class ActionSequences {
  private static final int MAX_ADVANCE_MILLIS = 40;
  private static final int MIN_CHUNK_SIZE = 1;

  private ActionSequences() {}

  /** Returns {@code count} random actions; the same seed gives the same actions. */
  public static List<Action> draw(long seed, int count) {
    SplittableRandom random = new SplittableRandom(seed ^ 0x5DEECE66DL);
    List<Action> actions = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      actions.add(drawOne(random));
    }
    return actions;
  }

  private static Action drawOne(SplittableRandom random) {
    // The bounds below are shares of all actions, in thousandths.
    int roll = random.nextInt(1_000);
    int pick = random.nextInt(1 << 20);
    if (roll < 640) {
      // Mostly delivers the oldest message, so that the group makes progress.
      return new Action.Deliver(random.nextInt(4) == 0 ? pick : 0);
    }
    if (roll < 840) {
      return new Action.Advance(1 + random.nextInt(MAX_ADVANCE_MILLIS));
    }
    if (roll < 910) {
      return new Action.Propose(pick);
    }
    if (roll < 930) {
      return new Action.Drop(pick);
    }
    return roll < 940 ? new Action.Repeat(pick) : drawFault(random, roll - 940, pick);
  }

  private static Action drawFault(SplittableRandom random, int roll, int pick) {
    if (roll < 5) {
      return new Action.Crash(pick, random.nextBoolean());
    }
    if (roll < 35) {
      return new Action.Restart(pick);
    }
    if (roll < 38) {
      return new Action.Cut(pick, random.nextInt(1 << 20));
    }
    if (roll < 42) {
      return new Action.Isolate(pick);
    }
    if (roll < 50) {
      return new Action.Heal();
    }
    if (roll < 51) {
      return new Action.Wipe(pick);
    }
    return roll < 53 ? new Action.Transfer(pick) : new Action.Snapshot(pick);
  }

  /** Returns the violation that the actions cause, or null if every invariant holds. */
  public static @Nullable InvariantViolation findViolation(
      long seed, int replicaCount, List<Action> actions, InjectedFault injectedFault) {
    try {
      RaftGroupSimulation.run(seed, replicaCount, actions, injectedFault);
      return null;
    } catch (InvariantViolation violation) {
      return violation;
    }
  }

  /**
   * Removes actions that are not needed to cause a violation.
   *
   * <p>Removes ever smaller chunks in one pass each, which is fast but need not find the shortest
   * list.
   */
  public static List<Action> minimize(
      long seed, int replicaCount, List<Action> actions, InjectedFault injectedFault) {
    List<Action> shortest = new ArrayList<>(actions);
    for (int chunkSize = shortest.size() / 2; chunkSize >= MIN_CHUNK_SIZE; chunkSize /= 2) {
      for (int start = 0; start < shortest.size(); ) {
        List<Action> candidate = new ArrayList<>(shortest);
        candidate.subList(start, Math.min(start + chunkSize, candidate.size())).clear();
        if (findViolation(seed, replicaCount, candidate, injectedFault) != null) {
          shortest = candidate;
        } else {
          start += chunkSize;
        }
      }
    }
    return shortest;
  }
}
