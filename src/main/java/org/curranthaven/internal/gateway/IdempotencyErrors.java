package org.curranthaven.internal.gateway;

import org.curranthaven.api.Failure;
import org.curranthaven.api.Ran;

/** Errors of requests that carry an Idempotency-Key of the caller. */
final class IdempotencyErrors {
  private IdempotencyErrors() {}

  /**
   * Returns the failure of a request whose key was not looked up. This request did not run, but an
   * earlier one with the same key may have, so the failure must not report that it did not run.
   */
  static Failure earlierAttemptMayHaveRun(Failure failure) {
    if (failure.ran() != Ran.NO) {
      return failure;
    }
    return new Failure(
        failure.code(),
        Ran.UNKNOWN,
        failure.message()
            + "; this request did not run, but an earlier one with the same Idempotency-Key may have",
        failure.retryAfterMillis());
  }
}
