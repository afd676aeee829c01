package org.curranthaven.internal.relay;

import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.catalog.Repeatability;
import org.curranthaven.internal.catalog.Route;

/** Decides what follows an attempt, so that nothing runs more often than its route allows. */
final class RetryRules {
  /** Most backend servers that one call is offered to, also where none of them ran it. */
  static final int MAX_ATTEMPTS = 4;

  private static final int MIN_SERVER_ERROR_STATUS = 500;
  private static final int GATEWAY_TIMEOUT = 504;

  private RetryRules() {}

  /**
   * Returns what follows.
   *
   * @param runs attempts that ran or may have, the latest included
   * @param sends attempts in all, the latest included
   * @param started whether the caller has got a part of the answer
   */
  static RetryDecision decide(
      AttemptResult result, Route route, int runs, int sends, boolean started) {
    boolean mayOffer = sends < MAX_ATTEMPTS;
    boolean mayRunAgain = mayOffer && route.isRepeatable() && runs < route.attempts();
    return switch (result) {
      case AttemptResult.Unreachable ignored ->
          mayOffer ? new RetryDecision.Retry() : new RetryDecision.Fail(ResultCode.NO_BACKEND);
      case AttemptResult.NotRun ignored ->
          mayOffer ? new RetryDecision.Retry() : new RetryDecision.Fail(ResultCode.BACKEND_REFUSED);
      case AttemptResult.Interrupted ignored ->
          mayRunAgain
              ? new RetryDecision.Retry()
              : new RetryDecision.Fail(ResultCode.BACKEND_FAILED);
      case AttemptResult.Completed answer ->
          mayRunAgain && isRetryableFailure(answer, route, started)
              ? new RetryDecision.Retry()
              : new RetryDecision.Deliver();
    };
  }

  private static boolean isRetryableFailure(
      AttemptResult.Completed answer, Route route, boolean started) {
    int status = answer.head().status();
    boolean failed = status >= MIN_SERVER_ERROR_STATUS && status != GATEWAY_TIMEOUT;
    return failed && (!started || route.kind() == Repeatability.STREAM);
  }
}
