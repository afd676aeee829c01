package org.curranthaven.api;

import java.util.Objects;

/**
 * An error as it is reported to callers and operators.
 *
 * @param code result code
 * @param ran whether the request ran on a backend server
 * @param message description of what happened and why
 * @param retryAfterMillis delay after which the caller may retry, in milliseconds; 0 if no delay is
 *     suggested
 */
public record Failure(ResultCode code, Ran ran, String message, long retryAfterMillis) {
  public Failure {
    Objects.requireNonNull(code);
    Objects.requireNonNull(ran);
    Objects.requireNonNull(message);
    if (retryAfterMillis < 0) {
      throw new IllegalArgumentException(
          "retryAfterMillis must not be negative, but is " + retryAfterMillis);
    }
  }

  /** Returns a failure with the default {@link Ran} value of the code and no retry delay. */
  public static Failure of(ResultCode code, String message) {
    return new Failure(code, code.ran(), message, 0);
  }

  /** Returns a failure that suggests a retry after the given delay. */
  public static Failure retryLater(ResultCode code, String message, long retryAfterMillis) {
    return new Failure(code, code.ran(), message, retryAfterMillis);
  }

  /** Returns the complete message: what happened, why, the code's number and what to do next. */
  public String fullMessage() {
    return "%s [%d] %s".formatted(message, code.number(), code.nextStep());
  }
}
