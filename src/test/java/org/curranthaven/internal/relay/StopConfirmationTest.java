package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.curranthaven.internal.relay.StopConfirmation.StreamConnection;
import org.curranthaven.internal.relay.StopConfirmation.Verdict;
import org.curranthaven.internal.relay.TransferResponse.Outcome;
import org.junit.jupiter.api.Test;

/** Guards against a run that counts as stopped and goes on beside its resumption elsewhere. */
class StopConfirmationTest {
  private static final long LATE_MILLIS = 1_500;

  private final StopConfirmation confirmation = new StopConfirmation();

  private Verdict decide(Outcome outcome, StreamConnection connection) {
    return confirmation.decide(outcome, connection, 0);
  }

  @Test
  void an_engine_that_states_it_does_not_run_a_request_is_believed() {
    for (StreamConnection connection : StreamConnection.values()) {
      assertThat(decide(Outcome.NOT_RUNNING, connection)).isEqualTo(Verdict.NOT_RUNNING);
    }
  }

  /** Guards against a stopped stream that is taken for a finished one. */
  @Test
  void a_request_that_an_earlier_stop_may_have_stopped_was_not_finished() {
    for (Outcome earlier : new Outcome[] {Outcome.NO_RESPONSE, Outcome.REJECTED, Outcome.COPIED}) {
      StopConfirmation separate = new StopConfirmation();
      separate.decide(earlier, StreamConnection.ENDED, 0);

      assertThat(separate.decide(Outcome.NOT_RUNNING, StreamConnection.ENDED, 0))
          .isEqualTo(Verdict.STOPPED);
    }
  }

  @Test
  void a_refused_connection_shows_the_end_of_a_process_only_if_the_stream_has_ended_too() {
    assertThat(decide(Outcome.REFUSED, StreamConnection.ENDED)).isEqualTo(Verdict.GONE);
    assertThat(decide(Outcome.REFUSED, StreamConnection.SILENT)).isEqualTo(Verdict.RUNNING);
    assertThat(decide(Outcome.REFUSED, StreamConnection.ACTIVE)).isEqualTo(Verdict.RUNNING);
  }

  @Test
  void one_connection_that_could_not_be_opened_shows_nothing() {
    for (StreamConnection connection :
        new StreamConnection[] {StreamConnection.SILENT, StreamConnection.ENDED}) {
      StopConfirmation separate = new StopConfirmation();
      for (int i = 1; i < StopConfirmation.MIN_FAILED_CONNECTIONS; i++) {
        assertThat(separate.decide(Outcome.NO_CONNECTION, connection, LATE_MILLIS))
            .isEqualTo(Verdict.ASK_AGAIN);
      }
      assertThat(separate.decide(Outcome.NO_CONNECTION, connection, LATE_MILLIS))
          .isEqualTo(Verdict.GONE);
    }
  }

  /** Guards against a second run of a request since this host is out of descriptors or ports. */
  @Test
  void a_connection_that_this_host_could_not_open_shows_nothing() {
    for (int i = 0; i <= StopConfirmation.MIN_FAILED_CONNECTIONS; i++) {
      assertThat(decide(Outcome.NOT_SENT, StreamConnection.SILENT)).isEqualTo(Verdict.RUNNING);
      assertThat(decide(Outcome.NOT_SENT, StreamConnection.ENDED)).isEqualTo(Verdict.ASK_AGAIN);
    }
    assertThat(confirmation.decide(Outcome.NOT_SENT, StreamConnection.ENDED, LATE_MILLIS))
        .isEqualTo(Verdict.UNCONFIRMED);
  }

  @Test
  void only_failed_connections_in_a_row_count() {
    for (int i = 0; i < 10; i++) {
      assertThat(decide(Outcome.NO_CONNECTION, StreamConnection.ENDED))
          .isEqualTo(Verdict.ASK_AGAIN);
      assertThat(decide(Outcome.NO_RESPONSE, StreamConnection.ENDED)).isEqualTo(Verdict.ASK_AGAIN);
    }
  }

  @Test
  void a_stream_that_sends_shows_that_its_engine_can_be_reached() {
    for (int i = 0; i < 10; i++) {
      assertThat(decide(Outcome.NO_CONNECTION, StreamConnection.ACTIVE)).isEqualTo(Verdict.RUNNING);
    }
  }

  @Test
  void an_engine_that_was_reached_and_confirms_nothing_may_still_run_the_request() {
    for (Outcome outcome : new Outcome[] {Outcome.REJECTED, Outcome.NO_RESPONSE}) {
      assertThat(decide(outcome, StreamConnection.SILENT)).isEqualTo(Verdict.UNCONFIRMED);
      assertThat(decide(outcome, StreamConnection.ENDED)).isEqualTo(Verdict.ASK_AGAIN);
      assertThat(confirmation.decide(outcome, StreamConnection.ENDED, LATE_MILLIS))
          .isEqualTo(Verdict.UNCONFIRMED);
    }
  }
}
