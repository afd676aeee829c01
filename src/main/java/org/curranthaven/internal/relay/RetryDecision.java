package org.curranthaven.internal.relay;

import org.curranthaven.api.ResultCode;

/** The next step after an attempt. */
sealed interface RetryDecision {
  /** The backend server's response is delivered to the caller. */
  record Deliver() implements RetryDecision {}

  /** The request is placed on another backend server. */
  record Retry() implements RetryDecision {}

  /** The caller receives an error response with the given code. */
  record Fail(ResultCode code) implements RetryDecision {}
}
