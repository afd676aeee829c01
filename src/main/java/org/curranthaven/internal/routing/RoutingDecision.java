package org.curranthaven.internal.routing;

/** What a {@link RoutingCore} decides. */
public sealed interface RoutingDecision {
  /**
   * Sends the request to a server.
   *
   * @param requestId number of the request
   * @param server name of the server
   * @param priority priority to ask of the engine; lower is served first
   * @param reason the figures that the decision rested on
   */
  record Dispatch(long requestId, String server, int priority, DispatchReason reason)
      implements RoutingDecision {}

  /**
   * Gives the request up: it was not sent to any server.
   *
   * @param requestId number of the request
   * @param retryAfterMillis when the caller should come back, in milliseconds from now
   * @param reason why
   */
  record Shed(long requestId, long retryAfterMillis, ShedReason reason)
      implements RoutingDecision {}

  /** Why a request was given up. */
  enum ShedReason {
    /** No server serves the model. */
    NO_SERVER,
    /** The answer can no longer be complete within the class's target. */
    TARGET_UNREACHABLE,
    /** The queue is full. */
    QUEUE_FULL
  }

  /**
   * Figures behind a dispatch.
   *
   * @param policy name of the policy
   * @param candidates number of servers that were admissible
   * @param slackMillis time left to the first-reply target
   * @param queued requests that waited at that moment
   * @param peakMemoryShare forecast peak of the server's memory at the policy's quantile
   * @param running requests counted on the server
   */
  record DispatchReason(
      String policy,
      int candidates,
      long slackMillis,
      int queued,
      double peakMemoryShare,
      int running) {}
}
