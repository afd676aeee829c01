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
  void events_are_whole_however_the_bytes_are_cut() {
    byte[] stream =
        bytes("id: 1\ndata: a\n\nweight: 2\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n");
    for (int piece = 1; piece <= stream.length; piece++) {
      EventSplitter cut = new EventSplitter();
      List<String> ids = new ArrayList<>();
      StringBuilder text = new StringBuilder();
      for (int at = 0; at < stream.length; at += piece) {
        byte[] part = java.util.Arrays.copyOfRange(stream, at, Math.min(stream.length, at + piece));
        for (EventSplitter.Event event : cut.add(part)) {
          ids.add(event.id());
          text.append(new String(event.bytes(), StandardCharsets.UTF_8));
        }
      }
      assertThat(ids).as("pieces of %d bytes", piece).containsExactly("1", "2", "3");
      assertThat(text.toString()).isEqualTo(new String(stream, StandardCharsets.UTF_8));
      assertThat(cut.remainder()).isEmpty();
    }
  }

  @Test
  void an_event_that_is_cut_short_is_kept_back() {
    List<EventSplitter.Event> events = splitter.add(bytes("id: 1\ndata: a\n\nid: 2\ndat"));

    assertThat(events).extracting(EventSplitter.Event::id).containsExactly("1");
    assertThat(splitter.remainder()).isEqualTo(bytes("id: 2\ndat"));
  }
}
