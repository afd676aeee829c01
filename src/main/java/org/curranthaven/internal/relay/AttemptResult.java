package org.curranthaven.internal.relay;

import io.netty.handler.codec.http.HttpResponse;

/** How one attempt at a backend server ended. */
sealed interface AttemptResult {
  /** No byte of the request was sent. */
  record Unreachable(String reason) implements AttemptResult {}

  /** The backend server stated that the request did not run. */
  record NotRun(ResponseHead head) implements AttemptResult {}

  /** A whole answer; of a stream that ended as complete, what follows its last event. */
  @SuppressWarnings("ArrayRecordComponent")
  record Completed(ResponseHead head, HttpResponse response, byte[] body)
      implements AttemptResult {}

  /** The request may have run; no whole answer came. */
  record Interrupted(String reason) implements AttemptResult {}
}
