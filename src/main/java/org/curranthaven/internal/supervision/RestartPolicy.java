package org.curranthaven.internal.supervision;

/**
 * Limit on how often a child may be restarted before its supervisor fails.
 *
 * @param maxRestarts number of restarts allowed within the window
 * @param windowMillis length of the window, in milliseconds
 * @param delayMillis delay before a restart, in milliseconds
 */
public record RestartPolicy(int maxRestarts, long windowMillis, long delayMillis) {
  public RestartPolicy {
    if (maxRestarts < 0 || windowMillis <= 0 || delayMillis < 0) {
      throw new IllegalArgumentException(
          "maxRestarts and delayMillis must not be negative and windowMillis must be positive:"
              + " maxRestarts "
              + maxRestarts
              + ", windowMillis "
              + windowMillis
              + ", delayMillis "
              + delayMillis);
    }
  }

  /** Returns the standard policy: 5 restarts within 10 seconds, each after 50 ms. */
  public static RestartPolicy standard() {
    return new RestartPolicy(5, 10_000, 50);
  }
}
