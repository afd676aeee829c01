package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.curranthaven.internal.dispatch.BackendStatements;
import org.junit.jupiter.api.Test;

/** Guards against a response that counts as complete although its ending does not show that. */
class CompleteResponseTest {
  private static final ResponseHead HEAD =
      new ResponseHead(200, "r", true, false, false, true, 0, false, BackendStatements.NONE);
  private static final HttpResponse RESPONSE =
      new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
  private static final String EVENT = "id: 1\ndata: a\n\n";

  private static final ResponseEnding LENGTH = new ResponseEnding.LengthReached();
  private static final ResponseEnding LAST_CHUNK = new ResponseEnding.LastChunk();
  private static final ResponseEnding CLOSED = new ResponseEnding.ConnectionClosed();
  private static final ResponseEnding BROKEN_OFF = new ResponseEnding.BrokenOff("reset", true);
  private static final List<ResponseEnding> ORDERLY = List.of(LENGTH, LAST_CHUNK, CLOSED);

  private static boolean streamIsComplete(String content, ResponseEnding ending) {
    EventSplitter events = new EventSplitter();
    events.add(content.getBytes(StandardCharsets.UTF_8));
    return CompleteResponse.ofStream(HEAD, RESPONSE, events, ending)
        instanceof AttemptResult.Completed;
  }

  @Test
  void a_stream_is_complete_when_it_ends_in_order_after_an_event() {
    assertThat(ORDERLY).allMatch(ending -> streamIsComplete(EVENT, ending));
    assertThat(ORDERLY).allMatch(ending -> streamIsComplete(EVENT + ": end\n", ending));
  }

  @Test
  void a_stream_that_ends_inside_an_event_is_never_complete() {
    assertThat(ORDERLY).noneMatch(ending -> streamIsComplete(EVENT + "id: 2\nda", ending));
    assertThat(ORDERLY).noneMatch(ending -> streamIsComplete("id: 1", ending));
  }

  @Test
  void a_stream_without_events_is_complete_only_if_its_end_is_marked() {
    assertThat(streamIsComplete("", LENGTH)).isTrue();
    assertThat(streamIsComplete("", LAST_CHUNK)).isTrue();
    assertThat(streamIsComplete("", CLOSED)).isFalse();
  }

  @Test
  void a_response_that_is_broken_off_is_never_complete() {
    assertThat(streamIsComplete(EVENT, BROKEN_OFF)).isFalse();
    assertThat(CompleteResponse.ofBody(HEAD, RESPONSE, new byte[] {1}, BROKEN_OFF))
        .isEqualTo(new AttemptResult.Interrupted("reset", true));
  }

  @Test
  void a_body_is_complete_when_it_ends_in_order() {
    assertThat(ORDERLY)
        .allMatch(
            ending ->
                CompleteResponse.ofBody(HEAD, RESPONSE, new byte[] {1}, ending)
                    instanceof AttemptResult.Completed);
  }
}
