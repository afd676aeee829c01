package org.curranthaven.internal.placement;

/**
 * Replicated lease of the one host that may order engines. Each holder gets a higher fencing number
 * than any before. The state also keeps the weight store's token bucket, so that a change of holder
 * does not exceed the store's rate. Not thread-safe.
 */
public final class PlacementState {
  /** Time between two weight loads at the store's steady rate, in milliseconds. */
  public static final long LOAD_INTERVAL_MILLIS = 2_000;

  /** Most weight loads at once after a quiet time. */
  public static final int LOAD_BURST = 4;

  private Snapshot state = new Snapshot("", "", 0, 0);

  /**
   * The whole state.
   *
   * @param holder name of the host that holds the lease, empty before the first
   * @param attempt the attempt by which it acquired the lease
   * @param fencingNumber number of the lease; rises with each holder
   * @param loadsPaidUntilMillis time up to which the loads recorded use up the store's rate
   */
  public record Snapshot(
      String holder, String attempt, long fencingNumber, long loadsPaidUntilMillis) {}

  /**
   * Answer to a command.
   *
   * @param held whether the caller holds the lease; for a load, whether it may be ordered now
   * @param fencingNumber number of the lease in force
   * @param waitMillis for a load that is refused, when to ask again
   */
  public record Result(boolean held, long fencingNumber, long waitMillis) {}

  /** Applies a command. */
  public Result apply(PlacementCommand command) {
    return switch (command) {
      case PlacementCommand.Acquire acquire -> acquire(acquire.host(), acquire.attempt());
      case PlacementCommand.Renew renew ->
          new Result(renew.fencingNumber() == state.fencingNumber(), state.fencingNumber(), 0);
      case PlacementCommand.RecordLoad load -> recordLoad(load.fencingNumber(), load.nowMillis());
    };
  }

  private Result acquire(String host, String attempt) {
    if (!attempt.equals(state.attempt())) {
      state = new Snapshot(host, attempt, state.fencingNumber() + 1, state.loadsPaidUntilMillis());
    }
    return new Result(true, state.fencingNumber(), 0);
  }

  private Result recordLoad(long number, long nowMillis) {
    if (number != state.fencingNumber()) {
      return new Result(false, state.fencingNumber(), 0);
    }
    long paidUntil = Math.max(state.loadsPaidUntilMillis(), nowMillis) + LOAD_INTERVAL_MILLIS;
    long wait = paidUntil - nowMillis - LOAD_BURST * LOAD_INTERVAL_MILLIS;
    if (wait > 0) {
      return new Result(false, number, wait);
    }
    state = new Snapshot(state.holder(), state.attempt(), number, paidUntil);
    return new Result(true, number, 0);
  }

  /** Returns the whole state. */
  public Snapshot snapshot() {
    return state;
  }

  /** Replaces the whole state. */
  public void restore(Snapshot snapshot) {
    state = snapshot;
  }
}
