package org.curranthaven.internal.relay;

/**
 * How the transmission of a backend server's response ended. {@link CompleteResponse} decides what
 * that says about the response.
 */
sealed interface ResponseEnding {
  /** All bytes of the announced length were received, or the status allows no body. */
  record LengthReached() implements ResponseEnding {}

  /** The last chunk was received. */
  record LastChunk() implements ResponseEnding {}

  /**
   * The connection was closed in order, and the response had neither a length nor chunks. Nothing
   * but the content shows whether more was to come.
   */
  record ConnectionClosed() implements ResponseEnding {}

  /**
   * The response ended early: its connection was reset or closed before the announced end, it was
   * malformed, or this host stopped waiting for it.
   *
   * @param connectionLost whether the backend server closed or reset the connection
   */
  record BrokenOff(String reason, boolean connectionLost) implements ResponseEnding {}
}
