package org.curranthaven.api;

import java.util.Objects;

/**
 * An error as callers and operators see it.
 *
 * @param code the numbered result code
 * @param ran whether the request ran
 * @param message what happened and why
 * @param retryAfterMillis when to come back, in milliseconds from now; 0 where it makes no sense
 */
public record Failure(ResultCode code, Ran ran, String message, long retryAfterMillis) {
  public Failure {
    Objects.requireNonNull(code);
    Objects.requireNonNull(ran);
    Objects.requireNonNull(message);
    if (retryAfterMillis < 0) {
      throw new IllegalArgumentException("retryAfterMillis must not be negative");
    }
  }

  /** Returns a failure with the code's own {@link Ran}. */
  public static Failure of(ResultCode code, String message) {
    return new Failure(code, code.ran(), message, 0);
  }

  /** Returns a failure that tells the caller when to come back. */
  public static Failure retryLater(ResultCode code, String message, long retryAfterMillis) {
    return new Failure(code, code.ran(), message, retryAfterMillis);
  }

  /** Returns the whole sentence: what happened, why, and what to do next. */
  public String fullMessage() {
    return "%s [%d] %s".formatted(message, code.number(), code.nextStep());
  }
}
