package org.curranthaven.internal.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.curranthaven.api.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * Counts the attempts of one request, and alone decides whether it may have run or may still run.
 * An attempt that a backend server received counts against the retry budget of the service, whether
 * or not the backend server ran it.
 *
 * <pre>{@code
 * history.recordStart();
 * history.recordTransmission(attempt::wasSent);
 * history.recordResult(result);
 * requestPlacement(history.nextIsRepeat());
 * }</pre>
 */
final class AttemptHistory {
  private int attempts;
  private int executions;
  private boolean received;
  private int unreachable;

  /** Whether the latest attempt has been sent; null if it has a result or cannot be sent. */
  private @Nullable BooleanSupplier latest;

  /** Whether each earlier attempt without a result was sent, such as one that was migrated. */
  private final List<BooleanSupplier> earlier = new ArrayList<>();

  /** Records that an attempt was started. */
  void recordStart() {
    attempts++;
    if (latest != null) {
      earlier.add(latest);
      latest = null;
    }
  }

  /**
   * Records how the attempt that was started last is transmitted.
   *
   * @param mayHaveLeft whether any byte of the request may have left
   */
  void recordTransmission(BooleanSupplier mayHaveLeft) {
    latest = mayHaveLeft;
  }

  /** Records the result of the attempt that was started last. */
  void recordResult(AttemptResult result) {
    latest = null;
    switch (result) {
      case AttemptResult.Completed ignored -> recordExecution();
      case AttemptResult.Interrupted ignored -> recordExecution();
      case AttemptResult.NotRun ignored -> received = true;
      case AttemptResult.Unreachable failed -> unreachable += failed.backendFailed() ? 1 : 0;
    }
  }

  private void recordExecution() {
    received = true;
    executions++;
  }

  /**
   * Returns whether the request may have run or may still run: any attempt was sent, and no result
   * proves that it did not run.
   */
  boolean mayHaveRun() {
    return executions > 0
        || (latest != null && latest.getAsBoolean())
        || earlier.stream().anyMatch(BooleanSupplier::getAsBoolean);
  }

  /**
   * Returns the code to report: not one whose status promises that the request did not run if it
   * may have.
   */
  ResultCode withoutFalsePromise(ResultCode code) {
    return NotRunStatus.isPromise(code.httpStatus()) && mayHaveRun()
        ? ResultCode.BACKEND_FAILED
        : code;
  }

  /** Returns whether connections failed, and no backend server received the request. */
  boolean reachedNoBackend() {
    return unreachable > 0 && !received && !mayHaveRun();
  }

  /** Returns the number of attempts. */
  int attempts() {
    return attempts;
  }

  /** Returns the number of attempts in which the request ran or may have run. */
  int executions() {
    return executions;
  }

  /** Returns whether a backend server has received the request, so that the next one repeats it. */
  boolean nextIsRepeat() {
    return received;
  }
}
