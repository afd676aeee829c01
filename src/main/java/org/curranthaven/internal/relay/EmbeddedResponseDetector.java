package org.curranthaven.internal.relay;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Finds the head of another response inside the body of a response: a status line, followed by
 * header lines one of which names a request, seals a response or states that a request did not run.
 * In an event stream, no line begins as a status line does: names of fields are in lower case. A
 * backend server that answers twice may write it where the framing of the body does not exclude it.
 * Not thread-safe.
 */
final class EmbeddedResponseDetector {
  private static final byte[] STATUS_LINE_START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
  private static final int VERSION_BYTES = "HTTP/1.1".length();
  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/1\\.[01] (?<status>[1-5]\\d\\d)( .*)?");
  private static final Pattern HEADER_LINE =
      Pattern.compile("(?<name>[!#$%&'*+.^_`|~0-9A-Za-z-]+):(?<value>.*)");

  /** Longest head that is searched for headers. */
  private static final int MAX_HEAD_BYTES = 8 * 1024;

  private final WireProtocol protocol;

  /** Content from the first place on that may be the beginning of a head; bounded. */
  private byte[] unresolved = new byte[0];

  private @Nullable ResponseHead found;

  private enum Match {
    NONE,
    INCOMPLETE,
    FOUND
  }

  private final boolean eventStream;

  /** Whether the next byte of an event stream begins a line. */
  private boolean atLineStart = true;

  EmbeddedResponseDetector(WireProtocol protocol, boolean eventStream) {
    this.protocol = protocol;
    this.eventStream = eventStream;
  }

  /** Adds content; returns whether the content so far holds another response. */
  boolean add(byte[] bytes) {
    if (eventStream && hasLineLikeStatusLine(bytes)) {
      return true;
    }
    byte[] content = bytes;
    if (unresolved.length > 0) {
      content = new byte[unresolved.length + bytes.length];
      System.arraycopy(unresolved, 0, content, 0, unresolved.length);
      System.arraycopy(bytes, 0, content, unresolved.length, bytes.length);
    }
    int start = nextStart(content, 0);
    while (start < content.length) {
      switch (matchAt(content, start)) {
        case FOUND -> {
          return true;
        }
        case INCOMPLETE -> {
          unresolved = Arrays.copyOfRange(content, start, content.length);
          return false;
        }
        case NONE -> start = nextStart(content, start + 1);
      }
    }
    unresolved = new byte[0];
    return false;
  }

  /** Returns whether a line begins as a status line does, which may be cut off after a byte. */
  private boolean hasLineLikeStatusLine(byte[] bytes) {
    for (byte octet : bytes) {
      if (atLineStart && octet == STATUS_LINE_START[0]) {
        return true;
      }
      atLineStart = octet == '\n';
    }
    return false;
  }

  /** Returns the head that was found. */
  @Nullable ResponseHead found() {
    return found;
  }

  /**
   * Returns whether the content ends within the head of what may be another response. A part of a
   * status line counts only if it is longer than the version, and if nothing but the end of the
   * connection marks the end of the content: other content may end with a line like it.
   */
  boolean endsInsideHead(boolean endsWithConnection) {
    if (endsWithConnection && unresolved.length > VERSION_BYTES) {
      return true;
    }
    for (byte octet : unresolved) {
      if (octet == '\n') {
        return true;
      }
    }
    return false;
  }

  /** Returns the next place where a status line, or the first part of one, begins. */
  private static int nextStart(byte[] content, int from) {
    for (int i = from; i < content.length; i++) {
      int length = 0;
      while (length < STATUS_LINE_START.length
          && i + length < content.length
          && content[i + length] == STATUS_LINE_START[length]) {
        length++;
      }
      if (length == STATUS_LINE_START.length || i + length == content.length) {
        return i;
      }
    }
    return content.length;
  }

  private Match matchAt(byte[] content, int start) {
    int length = Math.min(content.length - start, MAX_HEAD_BYTES);
    String text = new String(content, start, length, StandardCharsets.ISO_8859_1);
    boolean cut = length == MAX_HEAD_BYTES;
    int lineEnd = text.indexOf('\n');
    if (lineEnd < 0) {
      return cut || !maybeStatusLine(text) ? Match.NONE : Match.INCOMPLETE;
    }
    Matcher statusLine = STATUS_LINE.matcher(text.substring(0, lineEnd).stripTrailing());
    if (!statusLine.matches()) {
      return Match.NONE;
    }
    HttpResponse response =
        new DefaultHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(Integer.parseInt(statusLine.group("status"))));
    int lineStart = lineEnd + 1;
    for (lineEnd = text.indexOf('\n', lineStart);
        lineEnd >= 0;
        lineEnd = text.indexOf('\n', lineStart)) {
      Matcher header = HEADER_LINE.matcher(text.substring(lineStart, lineEnd).stripTrailing());
      if (!header.matches()) {
        return Match.NONE;
      }
      response.headers().set(header.group("name"), header.group("value").strip());
      ResponseHead head = protocol.readResponseHead(response);
      if (!head.requestId().isEmpty() || head.sealed() || head.notRun()) {
        found = head;
        return Match.FOUND;
      }
      lineStart = lineEnd + 1;
    }
    return cut ? Match.NONE : Match.INCOMPLETE;
  }

  /** Returns whether the text may be the first part of a status line. */
  private static boolean maybeStatusLine(String text) {
    Matcher statusLine = STATUS_LINE.matcher(text.stripTrailing());
    return statusLine.matches() || statusLine.hitEnd();
  }
}
