package org.curranthaven.internal.relay;

import org.curranthaven.api.ResultCode;

/** What follows an attempt. */
sealed interface NextStep {
  /** The backend server's answer goes to the caller. */
  record Deliver() implements NextStep {}

  /** Another backend server gets the call. */
  record SendAgain() implements NextStep {}

  /** The caller is told that the call failed. */
  record Fail(ResultCode code) implements NextStep {}
}
