package org.curranthaven.internal.relay;

import io.netty.handler.codec.http.HttpResponse;

/** The result of one attempt at a backend server. */
sealed interface AttemptResult {
  /** No connection could be made; no byte of the request was sent. */
  record Unreachable(String reason) implements AttemptResult {}

  /** The backend server stated that the request did not run, or that it is not the expected one. */
  record NotRun(ResponseHead head) implements AttemptResult {}

  /**
   * The response was complete. For a stream, the body holds only the bytes after the last event.
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Completed(ResponseHead head, HttpResponse response, byte[] body)
      implements AttemptResult {}

  /** The request may have run, but no complete and trustworthy response was received. */
  record Interrupted(String reason) implements AttemptResult {}
}
