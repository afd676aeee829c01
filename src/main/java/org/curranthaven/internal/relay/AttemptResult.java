package org.curranthaven.internal.relay;

/** The result of one attempt at a backend server. */
sealed interface AttemptResult {
  /** No connection could be made; no byte of the request was sent. */
  record Unreachable(String reason) implements AttemptResult {}

  /** The backend server stated that the request did not run, or that it is not the expected one. */
  record NotRun(ResponseHead head) implements AttemptResult {}

  /** The response was complete. */
  record Completed(CompleteResponse response) implements AttemptResult {
    ResponseHead head() {
      return response.head();
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
  }
}
