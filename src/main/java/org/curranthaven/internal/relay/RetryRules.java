package org.curranthaven.internal.relay;

import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.catalog.Repeatability;
import org.curranthaven.internal.catalog.Route;

/** Decides what follows an attempt, so that nothing runs more often than its route allows. */
final class RetryRules {
  /** Most backend servers that one call is offered to, also where none of them ran it. */
  static final int MAX_SENDS = 4;

  private static final int FIRST_SERVER_ERROR = 500;
  private static final int GATEWAY_TIMEOUT = 504;

  private RetryRules() {}

  /**
   * Returns what follows.
   *
   * @param runs attempts that ran or may have, the latest included
   * @param sends attempts in all, the latest included
   * @param started whether the caller has got a part of the answer
   */
  static RetryDecision after(
      AttemptResult result, Route route, int runs, int sends, boolean started) {
    boolean mayOffer = sends < MAX_SENDS;
    boolean mayRunAgain = mayOffer && route.isRepeatable() && runs < route.attempts();
    return switch (result) {
      case AttemptResult.Unreachable ignored ->
          mayOffer ? new RetryDecision.SendAgain() : new RetryDecision.Fail(ResultCode.NO_BACKEND);
      case AttemptResult.NotRun ignored ->
          mayOffer
              ? new RetryDecision.SendAgain()
              : new RetryDecision.Fail(ResultCode.BACKEND_REFUSED);
      case AttemptResult.Broken ignored ->
          mayRunAgain
              ? new RetryDecision.SendAgain()
              : new RetryDecision.Fail(ResultCode.BACKEND_FAILED);
      case AttemptResult.Answered answer ->
          mayRunAgain && isWorthAnother(answer, route, started)
              ? new RetryDecision.SendAgain()
              : new RetryDecision.Deliver();
    };
  }

  private static boolean isWorthAnother(
      AttemptResult.Answered answer, Route route, boolean started) {
    int status = answer.head().status();
    boolean failed = status >= FIRST_SERVER_ERROR && status != GATEWAY_TIMEOUT;
    return failed && (!started || route.kind() == Repeatability.STREAM);
  }
}
