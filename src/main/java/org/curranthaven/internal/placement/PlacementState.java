package org.curranthaven.internal.placement;

/**
 * Replicated lease of the one host that may send orders to engines. Each new acquisition gets a
 * higher fencing number than all earlier ones; a repeated attempt gets the same one. The state also
 * contains the token bucket of the weight store, so that the store's rate limit holds across a
 * change of the lease holder. Not thread-safe.
 */
public final class PlacementState {
  /** Interval between weight loads at the store's sustained rate. */
  public static final long LOAD_INTERVAL_MILLIS = 2_000;

  /** Maximum number of weight loads in a burst after a time without loads. */
  public static final int LOAD_BURST = 4;

  private Snapshot state = new Snapshot("", "", 0, 0);

  /**
   * Snapshot of the state.
   *
   * @param holder name of the host that holds the lease; empty if it was never acquired
   * @param attempt identifier of the attempt that acquired the lease
   * @param fencingNumber fencing number of the lease; rises with each acquisition
   * @param loadsPaidUntilMillis time until which the recorded loads use up the store's sustained
   *     rate
   */
  public record Snapshot(
      String holder, String attempt, long fencingNumber, long loadsPaidUntilMillis) {}

  /**
   * Result of a command.
   *
   * @param held whether the sender holds the lease; for a load, whether it may also be ordered now
   * @param fencingNumber fencing number of the current lease
   * @param waitMillis delay after which to repeat a load that exceeds the rate limit; else 0
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

  private Result recordLoad(long fencingNumber, long nowMillis) {
    if (fencingNumber != state.fencingNumber()) {
      return new Result(false, state.fencingNumber(), 0);
    }
    long paidUntilMillis = Math.max(state.loadsPaidUntilMillis(), nowMillis) + LOAD_INTERVAL_MILLIS;
    long waitMillis = paidUntilMillis - nowMillis - LOAD_BURST * LOAD_INTERVAL_MILLIS;
    if (waitMillis > 0) {
      return new Result(false, fencingNumber, waitMillis);
    }
    state = new Snapshot(state.holder(), state.attempt(), fencingNumber, paidUntilMillis);
    return new Result(true, fencingNumber, 0);
  }

  /** Returns a snapshot of the state. */
  public Snapshot snapshot() {
    return state;
  }

  /** Replaces the state by a snapshot. */
  public void restore(Snapshot snapshot) {
    state = snapshot;
  }
}
