package org.curranthaven.internal.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Splits a server-sent event stream into events, each ended by an empty line. Buffers the bytes of
 * an incomplete event. Not thread-safe.
 */
final class EventSplitter {
  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
  private static final int INITIAL_BUFFER_BYTES = 1_024;

  private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
  private int length;
  private int scannedLength;
  private int eventCount;

  /** Bytes that were moved within the buffer. */
  private long movedBytes;

  /**
   * A complete event.
   *
   * @param id value of the id field; empty if there is none
   * @param bytes the event, including the empty line that ends it
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Event(String id, byte[] bytes) {
    /** Returns whether the event holds output: a line that is neither blank nor a comment. */
    boolean hasOutput() {
      boolean lineStart = true;
      for (byte octet : bytes) {
        if (lineStart && octet != ':' && octet != '\n' && octet != '\r') {
          return true;
        }
        lineStart = octet == '\n';
      }
      return false;
    }
  }

  /** Adds bytes and returns the events that they complete. */
  List<Event> add(byte[] bytes) {
    if (length + bytes.length > buffer.length) {
      buffer = Arrays.copyOf(buffer, Math.max(buffer.length * 2, length + bytes.length));
    }
    System.arraycopy(bytes, 0, buffer, length, bytes.length);
    length += bytes.length;
    List<Event> events = new ArrayList<>();
    int start = 0;
    for (int i = Math.max(scannedLength, 1); i < length; i++) {
      if (i > start && buffer[i] == '\n' && isEmptyLine(i, start)) {
        byte[] event = Arrays.copyOfRange(buffer, start, i + 1);
        events.add(new Event(idOf(event), event));
        start = i + 1;
      }
    }
    eventCount += events.size();
    length -= start;
    moveRemainder(start);
    scannedLength = length;
    return events;
  }

  /** Moves the bytes after the last complete event to the start of the buffer. */
  private void moveRemainder(int start) {
    if (start > 0) {
      System.arraycopy(buffer, start, buffer, 0, length);
      movedBytes += length;
    }
  }

  /** Returns the number of bytes that were moved within the buffer. */
  long movedBytes() {
    return movedBytes;
  }

  /** Returns the number of bytes after the last complete event. */
  int remainderBytes() {
    return length;
  }

  /** Returns the number of complete events so far. */
  int eventCount() {
    return eventCount;
  }

  /** Returns the bytes after the last complete event. */
  byte[] remainder() {
    return Arrays.copyOf(buffer, length);
  }

  /**
   * Returns whether the bytes after the last complete event are part of another one; blank lines
   * and complete comment lines are not.
   */
  boolean hasUnfinishedEvent() {
    int lineStart = 0;
    for (int i = 0; i < length; i++) {
      if (buffer[i] != '\n') {
        continue;
      }
      boolean blank = i == lineStart || (i == lineStart + 1 && buffer[lineStart] == '\r');
      if (!blank && buffer[lineStart] != ':') {
        return true;
      }
      lineStart = i + 1;
    }
    return lineStart < length;
  }

  private boolean isEmptyLine(int newline, int start) {
    int previous = buffer[newline - 1] == '\r' ? newline - 2 : newline - 1;
    return previous >= start && buffer[previous] == '\n';
  }

  private static String idOf(byte[] event) {
    int lineStart = 0;
    for (int i = 0; i < event.length; i++) {
      if (event[i] != '\n') {
        continue;
      }
      if (Arrays.equals(
          event,
          lineStart,
          Math.min(lineStart + ID_FIELD.length, event.length),
          ID_FIELD,
          0,
          ID_FIELD.length)) {
        return new String(
                event,
                lineStart + ID_FIELD.length,
                i - lineStart - ID_FIELD.length,
                StandardCharsets.UTF_8)
            .strip();
      }
      lineStart = i + 1;
    }
    return "";
  }
}
