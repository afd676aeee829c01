package org.curranthaven.internal.relay;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Finds the head of another response inside the body of a response: a status line, followed by
 * header lines one of which names a request, seals a response or states that a request did not run.
 * In an event stream, no line begins as a status line does: names of fields are in lower case. A
 * backend server that answers twice may write it where the framing of the body does not exclude it.
 *
 * <p>The bytes are the backend server's to choose, so each is looked at a fixed number of times. Of
 * several heads that may be open, the lines that follow belong to all, and the one that began last
 * reaches the limit on its size last: it alone is remembered. Not thread-safe.
 */
final class EmbeddedResponseDetector {
  private static final byte STATUS_LINE_START = 'H';
  private static final int VERSION_BYTES = "HTTP/1.1".length();
  private static final Pattern HEADER_LINE =
      Pattern.compile("(?<name>[!#$%&'*+.^_`|~0-9A-Za-z-]+):(?<value>.*)");

  /** Longest head that is searched for headers. */
  private static final int MAX_HEAD_BYTES = 8 * 1024;

  private static final long NONE = -1;

  private final WireProtocol protocol;
  private final boolean eventStream;
  private final StatusLineMatcher statusLines = new StatusLineMatcher();

  /** The present line while a head is open. */
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();

  /** Offset of the next byte. */
  private long offset;

  /** Offset at which the open head began; negative for none. */
  private long headOffset = NONE;

  private int headStatus;
  private @Nullable ResponseHead found;

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
    for (byte octet : bytes) {
      if (octet == '\n') {
        endLine();
      } else {
        statusLines.add(octet, offset);
        if (isOpen(headOffset)) {
          line.write(octet);
        }
      }
      offset++;
      if (found != null) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a line begins as a status line does, which may be cut off after a byte. */
  private boolean hasLineLikeStatusLine(byte[] bytes) {
    for (byte octet : bytes) {
      if (atLineStart && octet == STATUS_LINE_START) {
        return true;
      }
      atLineStart = octet == '\n';
    }
    return false;
  }

  /** Returns whether the head at an offset has not reached the limit on its size. */
  private boolean isOpen(long startOffset) {
    return startOffset != NONE && offset - startOffset < MAX_HEAD_BYTES;
  }

  private void endLine() {
    if (isOpen(headOffset)) {
      readHeaderLine(line.toString(StandardCharsets.ISO_8859_1).stripTrailing());
    } else {
      headOffset = NONE;
    }
    line.reset();
    long statusLineOffset = statusLines.endLine();
    if (isOpen(statusLineOffset)) {
      headOffset = statusLineOffset;
      headStatus = statusLines.status();
    }
  }

  private void readHeaderLine(String text) {
    Matcher header = HEADER_LINE.matcher(text);
    if (!header.matches()) {
      headOffset = NONE;
      return;
    }
    String name = header.group("name");
    if (protocol.mayIdentifyResponse(name)) {
      HttpResponse response =
          new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(headStatus));
      response.headers().set(name, header.group("value").strip());
      ResponseHead head = protocol.readResponseHead(response);
      if (!head.requestId().isEmpty() || head.sealed() || head.notRun()) {
        found = head;
      }
    }
  }

  /** Returns the head that was found, with the header that identifies it. */
  @Nullable ResponseHead found() {
    return found;
  }

  /**
   * Returns whether the content ends within the head of what may be another response. A part of a
   * status line counts only if it is longer than the version, and if nothing but the end of the
   * connection marks the end of the content: other content may end with a line like it.
   */
  boolean endsInsideHead(boolean endsWithConnection) {
    long openOffset = statusLines.openOffset();
    boolean inStatusLine = isOpen(openOffset) && offset - openOffset > VERSION_BYTES;
    return isOpen(headOffset) || (endsWithConnection && inStatusLine);
  }
}
