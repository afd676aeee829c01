package org.curranthaven.internal.scheduler;

import org.curranthaven.internal.supervision.LineLimit;
import org.tinylog.Logger;

/**
 * Writes log lines about control requests, a limited number in each second, since any client may
 * send them. Confined to the event loop.
 */
final class RequestLog {
  static final int MAX_LINES_PER_SECOND = 50;

  private static final long SECOND_MILLIS = 1_000;

  private final LineLimit limit = new LineLimit(MAX_LINES_PER_SECOND, SECOND_MILLIS);

  /** Writes a line, or counts it if there are too many in this second. */
  void write(long nowMillis, String message, Object... arguments) {
    if (!limit.mayWrite(nowMillis)) {
      return;
    }
    long omitted = limit.takeOmitted();
    if (omitted > 0) {
      Logger.warn("{} lines about control requests omitted", omitted);
    }
    Logger.info(message, arguments);
  }

  /** Returns the number of lines that were omitted since the last one that was written. */
  long omittedLines() {
    return limit.omitted();
  }
}
