package org.curranthaven.internal.catalog;

/**
 * Limits on the size and timing of what a caller sends.
 *
 * @param maxHeaderBytes maximum size of the request line and headers together
 * @param maxBodyBytes maximum size of the request body
 * @param headerTimeoutMillis maximum time from the first byte of a request to the end of its
 *     headers
 * @param idleTimeoutMillis maximum time that a connection may stay open without a request
 */
public record RequestLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
  /** Returns the default limits, which apply where the catalog sets none. */
  public static RequestLimits standard() {
    return new RequestLimits(16_384, 4_194_304, 3_000, 15_000);
  }
}
