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
  /** Returns a success that holds {@code value}. */
  static <T> Outcome<T> success(T value) {
    return new Success<>(value);
  }

  /** Returns a failure. */
  static <T> Outcome<T> failed(Failure failure) {
    return new Failed<>(failure);
  }

  /** Returns a failure with the code's own {@link Ran}. */
  static <T> Outcome<T> failed(ResultCode code, String message) {
    return new Failed<>(Failure.of(code, message));
  }

  /** The operation succeeded. */
  record Success<T>(T value) implements Outcome<T> {}

  /** The operation failed. */
  record Failed<T>(Failure failure) implements Outcome<T> {}
}
