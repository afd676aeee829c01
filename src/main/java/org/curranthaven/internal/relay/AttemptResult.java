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

  /** The request may have run, but no complete and trustworthy response was received. */
  record Interrupted(String reason) implements AttemptResult {}
}
