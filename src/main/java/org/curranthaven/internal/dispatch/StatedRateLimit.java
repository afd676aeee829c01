package org.curranthaven.internal.dispatch;

/** What a response of a backend server states about the requests that the server accepts. */
public sealed interface StatedRateLimit {
  /** The response states no limit: the backend server accepts what its capacity allows. */
  record None() implements StatedRateLimit {}

  /** The backend server accepts this many requests a second from all hosts together. */
  record RequestsPerSecond(double value) implements StatedRateLimit {}

  /**
   * The response states something that is no limit, which therefore changes nothing.
   *
   * @param text the stated text, shortened
   */
  record Malformed(String text) implements StatedRateLimit {}
}
