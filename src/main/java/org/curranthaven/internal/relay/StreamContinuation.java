package org.curranthaven.internal.relay;

/** Decides which results may follow the beginning of a stream that the caller has received. */
final class StreamContinuation {
  private StreamContinuation() {}

  /**
   * Returns the result as it counts for the request. Once a stream has begun, a success without
   * events is no part of it and does not end it.
   */
  static AttemptResult within(boolean streamStarted, AttemptResult result) {
    return streamStarted
            && result instanceof AttemptResult.Completed completed
            && completed.head().isSuccess()
            && !completed.response().isStream()
        ? new AttemptResult.Interrupted(
            "the backend server continued a stream with a response of status "
                + completed.head().status()
                + " that is no event stream")
        : result;
  }
}
