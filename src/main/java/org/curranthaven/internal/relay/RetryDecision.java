package org.curranthaven.internal.relay;

import org.curranthaven.api.ResultCode;

/** What follows an attempt. */
sealed interface RetryDecision {
  /** The backend server's answer goes to the caller. */
  record Deliver() implements RetryDecision {}

  /** Another backend server gets the call. */
  record Retry() implements RetryDecision {}

  /** The caller is told that the call failed. */
  record Fail(ResultCode code) implements RetryDecision {}
}
