package org.curranthaven.internal.supervision;

import java.util.ArrayDeque;
import java.util.Deque;

/** Counts a child's recent failures and decides whether it may be restarted. Not thread-safe. */
final class RestartIntensity {
  private final RestartPolicy policy;
  private final Deque<Long> failures = new ArrayDeque<>();

  RestartIntensity(RestartPolicy policy) {
    this.policy = policy;
  }

  /** Records a failure and returns whether the policy allows a restart. */
  boolean mayRestart(long nowMillis) {
    failures.addLast(nowMillis);
    while (nowMillis - failures.getFirst() >= policy.windowMillis()) {
      failures.removeFirst();
    }
    return failures.size() <= policy.maxRestarts();
  }
}
