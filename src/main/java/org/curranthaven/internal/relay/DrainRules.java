package org.curranthaven.internal.relay;

/**
 * Decides which calls a gateway still takes during a planned stop: balancers send connections for a
 * while, and for the whole stop where few hosts are left to send them to.
 */
final class DrainRules {
  /** Time after the start of a stop in which balancers have not noticed it yet. */
  static final long BALANCER_DETECTION_MILLIS = 2_500;

  /** Time that must be left once the call's own time is up. */
  private static final long MARGIN_MILLIS = 200;

  private DrainRules() {}

  /**
   * Returns whether a call is taken.
   *
   * @param stoppingMillis time since the stop began
   * @param leftMillis time until the process ends
   * @param allowedMillis longest time that the call may take
   */
  static boolean mayAccept(long stoppingMillis, long leftMillis, long allowedMillis) {
    return stoppingMillis < BALANCER_DETECTION_MILLIS
        || allowedMillis + MARGIN_MILLIS <= leftMillis;
  }
}
