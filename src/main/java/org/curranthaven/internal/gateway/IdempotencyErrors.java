package org.curranthaven.internal.gateway;

import org.curranthaven.api.Failure;
import org.curranthaven.api.Ran;

/** Errors of calls that carry a caller's own Idempotency-Key. */
final class IdempotencyErrors {
  private IdempotencyErrors() {}

  /**
   * Returns the failure for a call whose key was not looked up: this attempt did not run, but an
   * earlier one with the same key may have, so that "not run" may not be said.
   */
  static Failure earlierAttemptMayHaveRun(Failure failure) {
    if (failure.ran() != Ran.NO) {
      return failure;
    }
    return new Failure(
        failure.code(),
        Ran.UNKNOWN,
        failure.message() + "; this attempt did not run, an earlier one with its key may have",
        failure.retryAfterMillis());
  }
}
