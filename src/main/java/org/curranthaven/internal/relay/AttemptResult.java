package org.curranthaven.internal.relay;

import org.curranthaven.internal.transport.wire.DispatchOutcome;

/** The result of one attempt at a backend server. */
sealed interface AttemptResult {
  /** Lowest status with which a backend server reports its own failure. */
  int MIN_SERVER_ERROR_STATUS = 500;

  /** Returns what happened, for log lines and error messages. */
  String description();

  /** Returns what the scheduler is told of it. */
  default DispatchOutcome outcome() {
    return switch (this) {
      case Unreachable unreachable ->
          unreachable.backendFailed()
              ? DispatchOutcome.DISPATCH_OUTCOME_UNREACHABLE
              : DispatchOutcome.DISPATCH_OUTCOME_CANCELLED;
      case NotRun notRun ->
          notRun.head().misdirected()
              ? DispatchOutcome.DISPATCH_OUTCOME_UNREACHABLE
              : DispatchOutcome.DISPATCH_OUTCOME_REJECTED;
      case Interrupted interrupted ->
          interrupted.connectionLost()
              ? DispatchOutcome.DISPATCH_OUTCOME_CONNECTION_LOST
              : DispatchOutcome.DISPATCH_OUTCOME_FAILED;
      case Completed completed ->
          completed.head().status() >= MIN_SERVER_ERROR_STATUS
              ? DispatchOutcome.DISPATCH_OUTCOME_FAILED
              : DispatchOutcome.DISPATCH_OUTCOME_ANSWERED;
    };
  }

  /**
   * No byte of the request was sent.
   *
   * @param backendFailed whether no connection could be made; otherwise the backend server may not
   *     receive the request, which is no fault of it
   */
  record Unreachable(String reason, boolean backendFailed) implements AttemptResult {
    /** Creates the result of an attempt for which no connection could be made. */
    Unreachable(String reason) {
      this(reason, true);
    }

    @Override
    public String description() {
      return reason;
    }
  }

  /** The backend server stated that the request did not run, or that it is not the expected one. */
  record NotRun(ResponseHead head) implements AttemptResult {
    @Override
    public String description() {
      return "the backend server rejected the request before it ran, with status " + head.status();
    }
  }

  /** The response was complete. */
  record Completed(CompleteResponse response) implements AttemptResult {
    ResponseHead head() {
      return response.head();
    }

    @Override
    public String description() {
      return "the backend server responded with status " + head().status();
    }
  }

  /**
   * The request may have run, but no complete and trustworthy response was received.
   *
   * @param connectionLost whether the backend server closed or reset the connection
   */
  record Interrupted(String reason, boolean connectionLost) implements AttemptResult {
    /** Creates a result for another reason than the loss of the connection. */
    Interrupted(String reason) {
      this(reason, false);
    }

    @Override
    public String description() {
      return reason;
    }
  }
}
