package org.curranthaven.internal.relay;

import java.util.Set;

/** The statuses that callers take for a promise that the request did not run, and will not. */
final class NotRunStatus {
  private static final Set<Integer> STATUSES = Set.of(408, 421, 429, 503);

  private NotRunStatus() {}

  /** Returns whether a response with the status promises that the request did not run. */
  static boolean isPromise(int status) {
    return STATUSES.contains(status);
  }
}
