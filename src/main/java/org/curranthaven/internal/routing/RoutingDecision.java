package org.curranthaven.internal.routing;

/** Output of a {@link RoutingCore}. */
public sealed interface RoutingDecision {
  /**
   * Dispatches the request to a backend server.
   *
   * @param requestId number of the request
   * @param server name of the backend server
   * @param priority priority to request from the engine; lower values are served first
   * @param reason figures on which the decision was based
   */
  record Dispatch(long requestId, String server, int priority, DispatchReason reason)
      implements RoutingDecision {}

  /**
   * Sheds the request, which was not sent to any backend server.
   *
   * @param requestId number of the request
   * @param retryAfterMillis delay after which the caller should retry, in milliseconds
   * @param reason why the request was shed
   */
  record Shed(long requestId, long retryAfterMillis, ShedReason reason)
      implements RoutingDecision {}

  /** Reason for which a request was shed. */
  enum ShedReason {
    /** No backend server serves the model. */
    NO_SERVER,
    /** The response can no longer be complete within the class's target. */
    TARGET_UNREACHABLE,
    /** The queue of the host is full. */
    QUEUE_FULL
  }

  /**
   * Figures on which a dispatch was based.
   *
   * @param policy name of the policy
   * @param candidates number of backend servers that the policy could have chosen
   * @param slackMillis time left until the first reply is due; negative if the request is late
   * @param queued number of requests left in the queue
   * @param peakMemoryShare forecast peak memory use, as a share of the backend server's memory; 0
   *     under a baseline policy
   * @param running number of requests open on the backend server before this one
   */
  record DispatchReason(
      String policy,
      int candidates,
      long slackMillis,
      int queued,
      double peakMemoryShare,
      int running) {}
}
