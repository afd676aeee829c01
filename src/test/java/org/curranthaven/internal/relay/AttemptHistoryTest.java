package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.dispatch.BackendStatements;
import org.junit.jupiter.api.Test;

class AttemptHistoryTest {
  private static final ResponseHead REJECTION =
      new ResponseHead(503, "id-1", true, true, false, false, 0, false, BackendStatements.NONE);

  private final AttemptHistory history = new AttemptHistory();

  @Test
  void a_request_that_no_backend_server_received_is_not_repeated() {
    history.recordResult(new AttemptResult.Unreachable("no connection"));

    assertThat(history.nextIsRepeat()).isFalse();
  }

  @Test
  void a_retry_after_a_rejection_and_an_unreachable_backend_server_counts_as_a_repeat() {
    history.recordResult(new AttemptResult.NotRun(REJECTION));
    history.recordResult(new AttemptResult.Unreachable("no connection"));

    assertThat(history.nextIsRepeat()).isTrue();
    assertThat(history.executions()).isZero();
  }

  private void start(boolean sent) {
    history.recordStart();
    history.recordTransmission(() -> sent);
  }

  @Test
  void a_request_in_flight_may_run() {
    start(false);
    assertThat(history.mayHaveRun()).isFalse();
    start(true);

    assertThat(history.mayHaveRun()).isTrue();
    assertThat(history.withoutFalsePromise(ResultCode.SHED)).isEqualTo(ResultCode.BACKEND_FAILED);
  }

  @Test
  void a_request_that_its_backend_server_rejected_has_not_run() {
    start(true);
    history.recordResult(new AttemptResult.NotRun(REJECTION));

    assertThat(history.mayHaveRun()).isFalse();
    assertThat(history.withoutFalsePromise(ResultCode.SHED)).isEqualTo(ResultCode.SHED);
  }

  /** Guards against a promise on a request that ran at the engine before its migration. */
  @Test
  void a_rejection_by_one_backend_server_proves_nothing_of_an_attempt_without_a_result() {
    start(true);
    start(true);
    history.recordResult(new AttemptResult.NotRun(REJECTION));
    history.recordStart();
    history.recordResult(new AttemptResult.Unreachable("no connection"));

    assertThat(history.mayHaveRun()).isTrue();
    assertThat(history.withoutFalsePromise(ResultCode.NO_BACKEND))
        .isEqualTo(ResultCode.BACKEND_FAILED);
  }

  /** Guards against a promise on an interrupted request while it is resumed elsewhere. */
  @Test
  void an_interrupted_request_may_have_run_while_the_connection_for_its_resumption_opens() {
    start(true);
    history.recordStart();
    assertThat(history.mayHaveRun()).isTrue();
    history.recordTransmission(() -> false);

    assertThat(history.mayHaveRun()).isTrue();
    assertThat(history.withoutFalsePromise(ResultCode.SHED)).isEqualTo(ResultCode.BACKEND_FAILED);
  }

  @Test
  void no_code_that_promises_that_a_request_did_not_run_is_reported_once_it_was_sent() {
    start(true);

    assertThat(ResultCode.values())
        .extracting(history::withoutFalsePromise)
        .noneMatch(code -> Set.of(408, 421, 429, 503).contains(code.httpStatus()));
  }
}
