package org.curranthaven.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.junit.jupiter.api.Test;

class VersionDecisionsTest {
  private static final PlacementRequest REQUEST =
      PlacementRequest.newBuilder().setId(7).setService("plain").setResumedStream(0x57).build();

  private final VersionDecisions decisions = new VersionDecisions();

  @Test
  void a_line_names_the_stream_the_version_and_the_age_of_what_decided_it() {
    decisions.recordByOrigin(REQUEST, "v1", 250, 1_000);

    assertThat(decisions.drain())
        .containsExactly(
            "resumption of stream 0000000000000057 of service plain (placement request 7):"
                + " software version \"v1\", by its recorded origin with the latest output 250 ms"
                + " ago");
    assertThat(decisions.drain()).isEmpty();
  }

  /** Guards against a log that grows with the streams that are taken up after a loss. */
  @Test
  void many_resumptions_in_a_second_are_counted_rather_than_logged() {
    for (int i = 0; i < 100; i++) {
      decisions.recordByOnlyVersion(REQUEST, "v1", 1_000 + i);
    }
    decisions.recordUnknown(REQUEST, "its origin is unknown", 2_000);

    List<String> lines = decisions.drain();
    assertThat(lines).hasSize(VersionDecisions.MAX_LINES_PER_SECOND + 2);
    assertThat(lines).contains("80 more resumptions of streams were decided and not logged");
  }
}
