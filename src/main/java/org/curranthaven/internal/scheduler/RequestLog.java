package org.curranthaven.internal.scheduler;

import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Writes log lines about control requests, a limited number in each second, since any client may
 * send them. Confined to the event loop.
 */
final class RequestLog {
  static final int MAX_LINES_PER_SECOND = 50;

  private long second = Long.MIN_VALUE;
  private int lines;
  private int omittedLines;

  /** Writes a line, or counts it if there are too many in this second. */
  void write(long nowMillis, String message, Object... arguments) {
    if (!mayWrite(nowMillis)) {
      omittedLines++;
      return;
    }
    if (omittedLines > 0) {
      Logger.warn("{} lines about control requests omitted", omittedLines);
      omittedLines = 0;
    }
    Logger.info(message, arguments);
  }

  private boolean mayWrite(long nowMillis) {
    long currentSecond = TimeUnit.MILLISECONDS.toSeconds(nowMillis);
    if (currentSecond != second) {
      second = currentSecond;
      lines = 0;
    }
    lines++;
    return lines <= MAX_LINES_PER_SECOND;
  }

  /** Returns the number of lines that were omitted since the last one that was written. */
  int omittedLines() {
    return omittedLines;
  }
}
