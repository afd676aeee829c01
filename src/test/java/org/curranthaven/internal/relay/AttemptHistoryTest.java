package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

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
}
