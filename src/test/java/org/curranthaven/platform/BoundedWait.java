package org.curranthaven.platform;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

/** Waits for hosts for a limited time. */
final class BoundedWait {
  /** Time within which the hosts of a test are in use, on a machine that is busy otherwise too. */
  static final long START_LIMIT_MILLIS = 60_000;

  private static final long INTERVAL_MILLIS = 50;

  private BoundedWait() {}

  /** Waits until a condition holds. */
  static void until(String awaited, Callable<Boolean> condition) throws Exception {
    until(awaited, () -> "", condition);
  }

  /**
   * Waits until a condition holds.
   *
   * @param awaited what is waited for, for the message of the failure
   * @param state describes what is known otherwise when it fails
   */
  static void until(String awaited, Supplier<String> state, Callable<Boolean> condition)
      throws Exception {
    long startMillis = System.nanoTime() / 1_000_000;
    while (!condition.call()) {
      if (System.nanoTime() / 1_000_000 - startMillis > START_LIMIT_MILLIS) {
        throw new TimeoutException(
            "waited %d ms for: %s%s".formatted(START_LIMIT_MILLIS, awaited, state.get()));
      }
      Thread.sleep(INTERVAL_MILLIS);
    }
  }
}
