package org.curranthaven.internal.supervision;

/**
 * Bounds the log lines about one subject, which callers or faulty hosts could otherwise write
 * without limit. Not thread-safe.
 *
 * <pre>{@code
 * if (limit.mayWrite(nowMillis)) {
 *   Logger.info("response not accepted; {} lines omitted since the last", limit.takeOmitted());
 * }
 * }</pre>
 */
public final class LineLimit {
  private final int maxLines;
  private final long intervalMillis;
  private long interval = Long.MIN_VALUE;
  private int lines;
  private long omitted;

  /**
   * Creates a limit.
   *
   * @param maxLines lines allowed in each interval
   */
  public LineLimit(int maxLines, long intervalMillis) {
    this.maxLines = maxLines;
    this.intervalMillis = intervalMillis;
  }

  /** Returns whether a line may be written, and counts it as written or omitted. */
  public boolean mayWrite(long nowMillis) {
    long currentInterval = Math.floorDiv(nowMillis, intervalMillis);
    if (currentInterval != interval) {
      interval = currentInterval;
      lines = 0;
    }
    if (lines >= maxLines) {
      omitted++;
      return false;
    }
    lines++;
    return true;
  }

  /** Returns the number of lines omitted since the last call of {@link #takeOmitted}. */
  public long omitted() {
    return omitted;
  }

  /** Returns the number of lines omitted since the last call, and begins the count anew. */
  public long takeOmitted() {
    long taken = omitted;
    omitted = 0;
    return taken;
  }
}
