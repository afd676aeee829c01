package org.curranthaven.internal.relay;

import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.catalog.Repeatability;
import org.curranthaven.internal.catalog.Route;

/**
 * Decides whether the result of an attempt is delivered, retried or reported as a failure, so that
 * no request runs more often than its route allows.
 */
final class RetryRules {
  /** Limit on the attempts of one request, also if none of the backend servers ran it. */
  static final int MAX_ATTEMPTS = 4;

  private static final int GATEWAY_TIMEOUT = 504;

  private RetryRules() {}

  /**
   * Returns the next step after an attempt. A request that must not run twice is not sent again if
   * any attempt may have run, whatever the result of the latest.
   */
  static RetryDecision decide(
      AttemptResult result, Route route, AttemptHistory history, boolean streamStarted) {
    RetryDecision decision =
        decide(result, route, history.executions(), history.attempts(), streamStarted);
    return decision instanceof RetryDecision.Retry && !route.isRepeatable() && history.mayHaveRun()
        ? new RetryDecision.Fail(ResultCode.BACKEND_FAILED)
        : decision;
  }

  /**
   * Returns the next step after an attempt.
   *
   * @param executionCount attempts in which the request ran or may have run, including the latest
   * @param attemptCount all attempts, including the latest
   * @param streamStarted whether part of the response has been sent to the caller
   */
  static RetryDecision decide(
      AttemptResult result,
      Route route,
      int executionCount,
      int attemptCount,
      boolean streamStarted) {
    boolean mayTryAnother = attemptCount < MAX_ATTEMPTS;
    boolean mayRunAgain =
        mayTryAnother && route.isRepeatable() && executionCount < route.attempts();
    return switch (result) {
      case AttemptResult.Unreachable ignored ->
          mayTryAnother ? new RetryDecision.Retry() : new RetryDecision.Fail(ResultCode.NO_BACKEND);
      case AttemptResult.NotRun ignored ->
          mayTryAnother
              ? new RetryDecision.Retry()
              : new RetryDecision.Fail(ResultCode.BACKEND_REFUSED);
      case AttemptResult.Interrupted ignored ->
          mayRunAgain
              ? new RetryDecision.Retry()
              : new RetryDecision.Fail(ResultCode.BACKEND_FAILED);
      case AttemptResult.Completed completed ->
          mayRunAgain && isRetryableFailure(completed, route, streamStarted)
              ? new RetryDecision.Retry()
              : new RetryDecision.Deliver();
    };
  }

  private static boolean isRetryableFailure(
      AttemptResult.Completed completed, Route route, boolean streamStarted) {
    int status = completed.head().status();
    boolean serverError =
        status >= AttemptResult.MIN_SERVER_ERROR_STATUS && status != GATEWAY_TIMEOUT;
    return serverError && (!streamStarted || route.kind() == Repeatability.STREAM);
  }
}
