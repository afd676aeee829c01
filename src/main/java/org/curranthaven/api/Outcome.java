package org.curranthaven.api;

/**
 * Result of an operation that can fail.
 *
 * <pre>{@code
 * switch (outcome) {
 *   case Outcome.Success<String>(var value) -> use(value);
 *   case Outcome.Failed<String>(var failure) -> report(failure);
 * }
 * }</pre>
 *
 * @param <T> type of the value on success
 */
public sealed interface Outcome<T> {
  /** Returns a successful outcome with the given value. */
  static <T> Outcome<T> success(T value) {
    return new Success<>(value);
  }

  /** Returns a failed outcome. */
  static <T> Outcome<T> failed(Failure failure) {
    return new Failed<>(failure);
  }

  /** Returns a failed outcome with the default {@link Ran} value of the code. */
  static <T> Outcome<T> failed(ResultCode code, String message) {
    return new Failed<>(Failure.of(code, message));
  }

  /** The operation succeeded. */
  record Success<T>(T value) implements Outcome<T> {}

  /** The operation failed. */
  record Failed<T>(Failure failure) implements Outcome<T> {}
}
