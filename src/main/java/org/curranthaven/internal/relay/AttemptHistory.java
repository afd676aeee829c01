package org.curranthaven.internal.relay;

/**
 * Counts the attempts of one request. An attempt that a backend server received counts against the
 * retry budget of the service, whether or not the backend server ran it.
 *
 * <pre>{@code
 * history.recordStart();
 * history.recordResult(result);
 * requestPlacement(history.nextIsRepeat());
 * }</pre>
 */
final class AttemptHistory {
  private int attempts;
  private int executions;
  private boolean received;

  /** Records that an attempt was started. */
  void recordStart() {
    attempts++;
  }

  /** Records the result of an attempt. */
  void recordResult(AttemptResult result) {
    switch (result) {
      case AttemptResult.Completed ignored -> recordExecution();
      case AttemptResult.Interrupted ignored -> recordExecution();
      case AttemptResult.NotRun ignored -> received = true;
      case AttemptResult.Unreachable ignored -> {}
    }
  }

  private void recordExecution() {
    received = true;
    executions++;
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
