package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.curranthaven.internal.catalog.Repeatability;
import org.curranthaven.internal.catalog.Route;
import org.curranthaven.internal.catalog.ServiceWeight;
import org.junit.jupiter.api.Test;

class RequestProgressTest {
  private static final Route ROUTE =
      new Route(
          "drafts",
          "here",
          "/drafts/",
          Repeatability.STREAM,
          30_000,
          1_500,
          180,
          1,
          1,
          false,
          false,
          List.of(new ServiceWeight("engines", 1)));

  private final RequestProgress progress = new RequestProgress(ROUTE, 4, "", 1_000);

  private static EventSplitter.Event event(String id) {
    return new EventSplitter.Event(id, new byte[0]);
  }

  @Test
  void a_request_whose_first_reply_and_pauses_meet_the_targets_is_not_late() {
    progress.recordSent(1_100);
    progress.recordReply(2_500);
    progress.recordReply(2_680);

    assertThat(progress.isLate()).isFalse();
    assertThat(progress.firstReplyMillis()).isEqualTo(1_500);
  }

  @Test
  void a_first_reply_after_the_target_is_late_even_if_most_of_the_time_was_spent_queued() {
    progress.recordSent(2_400);
    progress.recordReply(2_501);

    assertThat(progress.isLate()).isTrue();
    assertThat(progress.timingSummary())
        .contains("first reply after 1501 ms", "1400 ms of them queued");
  }

  @Test
  void a_pause_longer_than_the_target_is_late() {
    progress.recordSent(1_000);
    progress.recordReply(1_200);
    progress.recordReply(1_381);

    assertThat(progress.isLate()).isTrue();
  }

  @Test
  void an_event_that_the_caller_already_has_is_neither_new_nor_counted() {
    assertThat(progress.recordIfNew(event("9"))).isTrue();
    assertThat(progress.recordIfNew(event("10"))).isTrue();
    assertThat(progress.recordIfNew(event("9"))).isFalse();

    assertThat(progress.outputTokens()).isEqualTo(8);
    assertThat(progress.lastEventId()).isEqualTo("10");
  }
}
