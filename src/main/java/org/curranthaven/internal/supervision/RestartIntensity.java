package org.curranthaven.internal.supervision;

import java.util.ArrayDeque;
import java.util.Deque;

/** Counts a child's failures and decides whether it may be started again. Not thread-safe. */
final class RestartIntensity {
  private final RestartPolicy policy;
  private final Deque<Long> failures = new ArrayDeque<>();

  RestartIntensity(RestartPolicy policy) {
    this.policy = policy;
  }

  /** Notes a failure and returns whether a restart is within the policy. */
  boolean mayRestart(long nowMillis) {
    failures.addLast(nowMillis);
    while (nowMillis - failures.getFirst() >= policy.windowMillis()) {
      failures.removeFirst();
    }
    return failures.size() <= policy.maxRestarts();
  }
}
