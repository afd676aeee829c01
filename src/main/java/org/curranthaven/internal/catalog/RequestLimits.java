package org.curranthaven.internal.catalog;

/**
 * Bounds on what a caller may send.
 *
 * @param maxHeaderBytes largest request line and headers
 * @param maxBodyBytes largest body
 * @param headerTimeoutMillis longest time from the first byte of a request to the end of its
 *     headers
 * @param idleTimeoutMillis longest time that a connection may stay without a request
 */
public record RequestLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** Returns the bounds in force before a catalog sets them. */
  public static RequestLimits standard() {
    return new RequestLimits(16_384, 4_194_304, 3_000, 15_000);
  }
}
