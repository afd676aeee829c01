package org.curranthaven.internal.supervision;

/**
 * How often a child may be restarted before its supervisor gives up.
 *
 * @param maxRestarts restarts allowed within the window
 * @param windowMillis length of the window, in milliseconds
 * @param delayMillis time to wait before a restart, in milliseconds
 */
public record RestartPolicy(int maxRestarts, long windowMillis, long delayMillis) {
  public RestartPolicy {
    if (maxRestarts < 0 || windowMillis <= 0 || delayMillis < 0) {
      throw new IllegalArgumentException("restart policy must have a positive window");
    }
  }

  /** Returns the policy of ordinary children: 5 restarts in 10 seconds. */
  public static RestartPolicy standard() {
    return new RestartPolicy(5, 10_000, 50);
  }
}
