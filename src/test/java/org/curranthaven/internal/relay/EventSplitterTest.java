package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EventSplitterTest {
  private final EventSplitter splitter = new EventSplitter();

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void events_are_complete_however_the_bytes_are_split() {
    byte[] stream =
        bytes("id: 1\ndata: a\n\nweight: 2\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n");
    for (int pieceLength = 1; pieceLength <= stream.length; pieceLength++) {
      EventSplitter pieceSplitter = new EventSplitter();
      List<String> ids = new ArrayList<>();
      StringBuilder text = new StringBuilder();
      for (int offset = 0; offset < stream.length; offset += pieceLength) {
        byte[] piece =
            java.util.Arrays.copyOfRange(
                stream, offset, Math.min(stream.length, offset + pieceLength));
        for (EventSplitter.Event event : pieceSplitter.add(piece)) {
          ids.add(event.id());
          text.append(new String(event.bytes(), StandardCharsets.UTF_8));
        }
      }
      assertThat(ids).as("pieces of %d bytes", pieceLength).containsExactly("1", "2", "3");
      assertThat(text.toString()).isEqualTo(new String(stream, StandardCharsets.UTF_8));
      assertThat(pieceSplitter.remainder()).isEmpty();
    }
  }

  @Test
  void an_incomplete_event_is_buffered() {
    List<EventSplitter.Event> events = splitter.add(bytes("id: 1\ndata: a\n\nid: 2\ndat"));

    assertThat(events).extracting(EventSplitter.Event::id).containsExactly("1");
    assertThat(splitter.remainder()).isEqualTo(bytes("id: 2\ndat"));
  }

  /** Guards against an unfinished event that is moved again with each part that arrives. */
  @Test
  void an_event_that_arrives_in_small_parts_is_not_moved_with_each_of_them() {
    int eventBytes = 64 * 1024;
    splitter.add(bytes("id: 1\n\ndata: "));
    for (int i = 0; i < eventBytes; i++) {
      splitter.add(new byte[] {'x'});
    }
    assertThat(splitter.add(bytes("\n\n"))).hasSize(1);

    assertThat(splitter.movedBytes()).isLessThanOrEqualTo(eventBytes);
  }

  @Test
  void only_blank_lines_and_whole_comments_may_follow_the_last_event() {
    assertThat(unfinishedAfterEvent("")).isFalse();
    assertThat(unfinishedAfterEvent("\n\r\n")).isFalse();
    assertThat(unfinishedAfterEvent(": ping\n")).isFalse();
    assertThat(unfinishedAfterEvent(": pi")).isTrue();
    assertThat(unfinishedAfterEvent("i")).isTrue();
    assertThat(unfinishedAfterEvent("id: 2\n")).isTrue();
    assertThat(unfinishedAfterEvent("id: 2\ndata: b\n")).isTrue();
    assertThat(unfinishedAfterEvent(": ping\nid: 2\n")).isTrue();
  }

  private static boolean unfinishedAfterEvent(String rest) {
    EventSplitter splitter = new EventSplitter();
    assertThat(splitter.add(bytes("id: 1\ndata: a\n\n"))).hasSize(1);
    assertThat(splitter.eventCount()).isEqualTo(1);
    splitter.add(bytes(rest));
    return splitter.hasUnfinishedEvent();
  }
}
