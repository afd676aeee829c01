package org.curranthaven.internal.dispatch;

/** Decision on a request, made by the scheduler or by a gateway in local fallback. */
public sealed interface DispatchDecision {
  /** Returns the id of the request that the decision is about. */
  RequestId requestId();

  /**
   * Runs the request on a backend server.
   *
   * @param urgency rank in the backend server's own queue; 0 is served first
   * @param backup engine that keeps the backup copy of the running request; empty for none
   */
  record Place(RequestId requestId, String backend, int urgency, String backup)
      implements DispatchDecision {}

  /**
   * Rejects the request; it did not run.
   *
   * @param retryAfterMillis time after which capacity is expected
   */
  record Reject(RequestId requestId, long retryAfterMillis, RejectionReason reason)
      implements DispatchDecision {}

  /**
   * Migrates the running request to another engine.
   *
   * @param backup engine that keeps its backup copy after the migration; empty for none
   */
  record Migrate(RequestId requestId, String target, String backup) implements DispatchDecision {}

  /**
   * Stops the running request, which has no output yet: a part of its prompt has been blocked.
   *
   * @param retryAfterMillis time until requests with the part are placed again
   */
  record Stop(RequestId requestId, long retryAfterMillis, RejectionReason reason)
      implements DispatchDecision {}
}
