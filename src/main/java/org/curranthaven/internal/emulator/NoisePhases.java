package org.curranthaven.internal.emulator;

import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;

/**
 * When the machine of each backend server is slow. The same seed gives the same phases, whatever
 * the policy does.
 *
 * @param noise shape of the phases; null for none
 * @param seed seed of the day
 */
record NoisePhases(Deployment.@Nullable MachineNoise noise, long seed) {
  private static final long SEED_FACTOR = 1_000_003;
  private static final double PERCENT = 100;

  /** Returns the factor by which work on the machine takes longer now. */
  double factor(String server, long nowMillis) {
    if (noise == null) {
      return 1;
    }
    long phase = nowMillis / noise.phaseMillis();
    long phaseSeed = (seed * SEED_FACTOR + server.hashCode()) * SEED_FACTOR + phase;
    boolean slow = new SplittableRandom(phaseSeed).nextDouble() < noise.share();
    return slow ? noise.factor() : 1;
  }

  /** Returns what the server states of it; 0 if servers do not state it. */
  int statedPercent(String server, long nowMillis) {
    return noise == null ? 0 : (int) Math.round(PERCENT * factor(server, nowMillis));
  }
}
