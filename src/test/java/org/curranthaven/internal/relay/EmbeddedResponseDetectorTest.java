package org.curranthaven.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import org.curranthaven.platform.PlatformProtocol;
import org.junit.jupiter.api.Test;

/** Guards against a copy of a response in a body, and against bodies that only look like one. */
class EmbeddedResponseDetectorTest {
  private static final String COPY =
      "HTTP/1.1 503 X\r\nRetry-After: 1\r\nAttempt-Id: a\r\nContent-Length: 0\r\n\r\n";

  private final EmbeddedResponseDetector detector =
      new EmbeddedResponseDetector(new PlatformProtocol(), false);

  private boolean add(String text) {
    return detector.add(text.getBytes(StandardCharsets.US_ASCII));
  }

  @Test
  void a_copy_is_found_however_it_is_split() {
    String content = "HTTP/1.HTTP/1.1 body" + COPY;
    for (int split = 0; split < content.length(); split++) {
      EmbeddedResponseDetectorTest fresh = new EmbeddedResponseDetectorTest();

      boolean found = fresh.add(content.substring(0, split));
      found = found || fresh.add(content.substring(split));

      assertThat(found).as("split at %d", split).isTrue();
    }
  }

  @Test
  void a_copy_that_is_cut_off_inside_its_head_is_noticed_at_the_end() {
    for (int end = "HTTP/1.1 ".length(); end < COPY.indexOf("a\r\nContent"); end++) {
      EmbeddedResponseDetectorTest fresh = new EmbeddedResponseDetectorTest();

      fresh.add("body" + COPY.substring(0, end));

      assertThat(fresh.detector.endsInsideHead(true)).as("cut at %d", end).isTrue();
      assertThat(fresh.detector.endsInsideHead(false))
          .as("cut at %d", end)
          .isEqualTo(end >= "HTTP/1.1 503 X\r\n".length());
    }
  }

  @Test
  void bodies_that_are_no_copies_are_left_alone() {
    for (String body :
        List.of(
            "",
            "H",
            "served by HTTP/1.",
            "served by HTTP/1.1",
            "HTTP/1.1 is a protocol",
            "HTTP/1.1 200 OK\r\n\r\nbody",
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nAttempt-Id: a\r\n",
            "HTTP/1.1 200 OK\r\nno header line\r\nAttempt-Id: a\r\n")) {
      EmbeddedResponseDetectorTest fresh = new EmbeddedResponseDetectorTest();

      assertThat(fresh.add(body)).as(body).isFalse();
      assertThat(fresh.detector.endsInsideHead(true)).as(body).isFalse();
    }
  }

  @Test
  void no_line_of_an_event_stream_begins_as_a_status_line() {
    String line = "id: 3\ndata: HTTP/1.1 200 OK\n\n";
    for (int split = 0; split < line.length(); split++) {
      EmbeddedResponseDetector stream = new EmbeddedResponseDetector(new PlatformProtocol(), true);
      assertThat(stream.add(line.substring(0, split).getBytes(StandardCharsets.US_ASCII)))
          .isFalse();
      assertThat(stream.add(line.substring(split).getBytes(StandardCharsets.US_ASCII))).isFalse();

      assertThat(stream.add("HTTP/1.1 5id: 4\n".getBytes(StandardCharsets.US_ASCII))).isTrue();
    }
  }

  @Test
  void a_copy_cut_off_inside_its_status_line_is_found_before_the_next_event() {
    for (int end = 1; end <= COPY.indexOf('\r'); end++) {
      for (String before : List.of("", "id: 3\ndata: H HTTP/1.1 200 OK\n\n")) {
        String content = before + COPY.substring(0, end) + "id: 4\n";
        for (int split = 0; split < content.length(); split++) {
          EmbeddedResponseDetector stream =
              new EmbeddedResponseDetector(new PlatformProtocol(), true);

          boolean found =
              stream.add(content.substring(0, split).getBytes(StandardCharsets.US_ASCII));
          found = found || stream.add(content.substring(split).getBytes(StandardCharsets.US_ASCII));

          assertThat(found).as("%s split at %d", content, split).isTrue();
        }
      }
    }
  }

  @Test
  void a_copy_after_an_unfinished_line_of_an_event_stream_is_found() {
    String content = "id: 3\ndata: tok" + COPY + "id: 4\n";
    for (int split = 0; split < content.length(); split++) {
      EmbeddedResponseDetector stream = new EmbeddedResponseDetector(new PlatformProtocol(), true);

      boolean found = stream.add(content.substring(0, split).getBytes(StandardCharsets.US_ASCII));
      found = found || stream.add(content.substring(split).getBytes(StandardCharsets.US_ASCII));

      assertThat(found).as("split at %d", split).isTrue();
    }
  }

  @Test
  void a_head_without_end_is_given_up() {
    add("HTTP/1.1 200 OK\r\n");
    for (int i = 0; i < 1_000; i++) {
      assertThat(add("X-Header: some value\r\n")).isFalse();
    }

    assertThat(detector.endsInsideHead(true)).isFalse();
  }

  /** Counts the heads that it decodes. */
  private static final class CountingProtocol extends PlatformProtocol {
    private int decodedHeads;

    @Override
    public ResponseHead readResponseHead(HttpResponse response) {
      decodedHeads++;
      return super.readResponseHead(response);
    }
  }

  /** Guards against a body that stops the gateway: work that grows faster than the bytes. */
  @Test
  void a_body_that_quotes_status_lines_has_no_head_decoded() {
    for (String line : List.of("17: HTTP/1.1 200 OK\n", "HTTP/1.1 200 OK\n", "a:HTTP/1.1 200\n")) {
      CountingProtocol protocol = new CountingProtocol();
      EmbeddedResponseDetector counted = new EmbeddedResponseDetector(protocol, false);

      counted.add(line.repeat(400).getBytes(StandardCharsets.US_ASCII));

      assertThat(protocol.decodedHeads).as(line).isZero();
    }
  }

  /** Guards against lines that name no request and are decoded again for each status line. */
  @Test
  void a_line_of_a_body_is_decoded_once_at_most() {
    CountingProtocol protocol = new CountingProtocol();
    EmbeddedResponseDetector counted = new EmbeddedResponseDetector(protocol, false);
    String content = "Attempt-Id:\nX: HTTP/1.1 200 OK\n".repeat(400);

    for (byte octet : content.getBytes(StandardCharsets.US_ASCII)) {
      assertThat(counted.add(new byte[] {octet})).isFalse();
    }

    assertThat(protocol.decodedHeads).isLessThanOrEqualTo(400);
  }

  @Test
  void a_copy_behind_many_quoted_status_lines_is_found_with_its_status() {
    add("17: HTTP/1.1 200 OK\n".repeat(2_000));

    assertThat(add(COPY)).isTrue();
    assertThat(Objects.requireNonNull(detector.found()).requestId()).isEqualTo("a");
    assertThat(Objects.requireNonNull(detector.found()).status()).isEqualTo(503);
  }
}
