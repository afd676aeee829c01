package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.catalog.Repeatability;
import org.curranthaven.internal.catalog.Route;
import org.curranthaven.internal.catalog.ServiceWeight;
import org.curranthaven.internal.dispatch.BackendStatements;
import org.junit.jupiter.api.Test;

class RetryRulesTest {
  private static Route route(Repeatability kind, int attempts, boolean resumable) {
    return new Route(
        "r",
        "here",
        "/p/",
        kind,
        1_000,
        300,
        0,
        0,
        attempts,
        true,
        resumable,
        List.of(new ServiceWeight("s", 1)));
  }

  private static AttemptResult completed(int status) {
    return CompleteResponse.ofBody(
        head(status, false),
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status)),
        new byte[0],
        new ResponseEnding.LengthReached());
  }

  private static ResponseHead head(int status, boolean notRun) {
    return new ResponseHead(
        status, "id", true, notRun, false, false, 0, false, BackendStatements.NONE);
  }

  private static final AttemptResult INTERRUPTED = new AttemptResult.Interrupted("reset");
  private static final AttemptResult NOT_RUN = new AttemptResult.NotRun(head(503, true));
  private static final AttemptResult UNREACHABLE = new AttemptResult.Unreachable("refused");

  @Test
  void an_unrepeatable_request_is_never_retried_once_it_may_have_run() {
    Route route = route(Repeatability.NON_IDEMPOTENT, 3, false);

    assertThat(RetryRules.decide(INTERRUPTED, route, 1, 1, false))
        .isEqualTo(new RetryDecision.Fail(ResultCode.BACKEND_FAILED));
    assertThat(RetryRules.decide(completed(500), route, 1, 1, false))
        .isEqualTo(new RetryDecision.Deliver());
  }

  @Test
  void a_request_that_provably_did_not_run_is_retried_on_another_backend_server() {
    Route route = route(Repeatability.NON_IDEMPOTENT, 1, false);

    assertThat(RetryRules.decide(NOT_RUN, route, 0, 1, false)).isEqualTo(new RetryDecision.Retry());
    assertThat(RetryRules.decide(UNREACHABLE, route, 0, 1, false))
        .isEqualTo(new RetryDecision.Retry());
  }

  @Test
  void an_idempotent_request_runs_at_most_as_often_as_its_route_allows() {
    Route route = route(Repeatability.IDEMPOTENT, 2, false);

    assertThat(RetryRules.decide(completed(500), route, 1, 1, false))
        .isEqualTo(new RetryDecision.Retry());
    assertThat(RetryRules.decide(completed(500), route, 2, 2, false))
        .isEqualTo(new RetryDecision.Deliver());
    assertThat(RetryRules.decide(INTERRUPTED, route, 2, 2, false))
        .isEqualTo(new RetryDecision.Fail(ResultCode.BACKEND_FAILED));
  }

  @Test
  void a_stream_is_retried_only_if_it_is_resumable() {
    assertThat(RetryRules.decide(INTERRUPTED, route(Repeatability.STREAM, 2, true), 1, 1, true))
        .isEqualTo(new RetryDecision.Retry());
    assertThat(RetryRules.decide(INTERRUPTED, route(Repeatability.STREAM, 2, false), 1, 1, true))
        .isEqualTo(new RetryDecision.Fail(ResultCode.BACKEND_FAILED));
  }

  @Test
  void a_request_that_no_backend_server_accepted_is_reported_as_not_run() {
    Route route = route(Repeatability.NON_IDEMPOTENT, 1, false);

    RetryDecision.Fail failure =
        (RetryDecision.Fail) RetryRules.decide(NOT_RUN, route, 0, RetryRules.MAX_ATTEMPTS, false);

    assertThat(failure.code().ran()).isEqualTo(org.curranthaven.api.Ran.NO);
  }

  @Test
  void a_gateway_timeout_of_a_backend_server_is_delivered_without_a_retry() {
    assertThat(
            RetryRules.decide(
                completed(504), route(Repeatability.IDEMPOTENT, 2, false), 1, 1, false))
        .isEqualTo(new RetryDecision.Deliver());
  }

  /** Guards against a second run of a request whose first attempt has no result. */
  @Test
  void a_request_that_must_not_run_twice_is_not_sent_again_while_an_attempt_may_have_run() {
    AttemptHistory history = new AttemptHistory();
    history.recordStart();
    history.recordTransmission(() -> true);
    history.recordStart();
    AttemptResult unreachable = new AttemptResult.Unreachable("no connection");
    history.recordResult(unreachable);

    assertThat(
            RetryRules.decide(
                unreachable, route(Repeatability.NON_IDEMPOTENT, 3, false), history, false))
        .isEqualTo(new RetryDecision.Fail(ResultCode.BACKEND_FAILED));
    assertThat(
            RetryRules.decide(
                unreachable, route(Repeatability.IDEMPOTENT, 3, false), history, false))
        .isEqualTo(new RetryDecision.Retry());
  }
}
