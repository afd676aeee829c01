package org.curranthaven.internal.dispatch;

/** What the scheduler decided for a call. */
public sealed interface DispatchDecision {
  /** Returns the call. */
  RequestId requestId();

  /**
   * The call runs on a backend server.
   *
   * @param urgency rank at the backend server; 0 comes first
   * @param backup backend server that keeps a copy of the running call; empty for none
   */
  record Place(RequestId requestId, String backend, int urgency, String backup)
      implements DispatchDecision {}

  /**
   * The call is turned away; it did not run.
   *
   * @param retryAfterMillis when room is expected
   */
  record Reject(RequestId requestId, long retryAfterMillis, RejectionReason reason)
      implements DispatchDecision {}

  /**
   * The running call goes on at another backend server.
   *
   * @param backup backend server that keeps a copy of it from then on; empty for none
   */
  record Migrate(RequestId requestId, String target, String backup) implements DispatchDecision {}
}
