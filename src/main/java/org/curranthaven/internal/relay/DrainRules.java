package org.curranthaven.internal.relay;

/**
 * Decides which requests a draining gateway still accepts. Load balancers keep sending connections
 * for a while, and during the whole drain if few other hosts are available.
 */
final class DrainRules {
  /**
   * Time after the start of a drain within which load balancers have not detected it yet; every
   * request is accepted until then.
   */
  static final long BALANCER_DETECTION_MILLIS = 2_500;

  /** Time after which a request that a draining gateway rejects is sent again, to another host. */
  static final long RETRY_AFTER_MILLIS = 50;

  /** Time that must remain between the latest end of a request and the end of the process. */
  private static final long MARGIN_MILLIS = 200;

  private DrainRules() {}

  /**
   * Returns whether a draining gateway accepts a request.
   *
   * @param drainingMillis time since the drain began
   * @param leftMillis time until the process ends
   * @param timeoutMillis longest time that the request may take
   */
  static boolean mayAccept(long drainingMillis, long leftMillis, long timeoutMillis) {
    return drainingMillis < BALANCER_DETECTION_MILLIS
        || timeoutMillis + MARGIN_MILLIS <= leftMillis;
  }
}
