package org.curranthaven.internal.clients;

/** Memory that the head of a request takes once it is decoded. */
public final class HeadCost {
  /** An entry of the decoded headers and of the copy that is forwarded, with its two strings. */
  private static final int BYTES_PER_LINE = 200;

  private HeadCost() {}

  /** Returns the cost of a head with so many bytes in so many lines. */
  public static long bytes(int headBytes, int lines) {
    return headBytes + (long) BYTES_PER_LINE * lines;
  }
}
