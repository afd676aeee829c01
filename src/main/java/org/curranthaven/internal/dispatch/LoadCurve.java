package org.curranthaven.internal.dispatch;

/**
 * Time that a unit of work takes on a backend server, by the number of requests that it runs at
 * once: constant up to the knee, and growing linearly beyond it.
 *
 * @param lightMillis time up to the knee
 * @param kneeRequests number of requests up to which that time holds; at least 1
 * @param slowdown growth of the time with each further request, as a share of the time up to there
 */
record LoadCurve(double lightMillis, int kneeRequests, double slowdown) {
  /** Share of the highest throughput that counts as all of it. */
  private static final double FULL_THROUGHPUT_SHARE = 0.97;

  /** Creates a curve; the time is above 0. */
  LoadCurve {
    if (!(lightMillis > 0) || kneeRequests < 1 || !(slowdown >= 0)) {
      throw new IllegalArgumentException(
          "no load curve: " + lightMillis + " ms, knee " + kneeRequests + ", " + slowdown);
    }
  }

  /**
   * Returns the curve of a server that runs as many requests as it has slots, and queues others.
   */
  static LoadCurve ofSlots(double lightMillis, int slots) {
    return new LoadCurve(lightMillis, slots, 1.0 / slots);
  }

  /** Returns the time of a unit of work while this number of requests run. */
  double millisAt(double requests) {
    return lightMillis * (1 + slowdown * Math.max(0, requests - kneeRequests));
  }

  /** Returns the smallest number of requests, up to the slots, at which throughput is highest. */
  int usefulRequests(int slots) {
    double highest = 0;
    for (int requests = 1; requests <= slots; requests++) {
      highest = Math.max(highest, requests / millisAt(requests));
    }
    int useful = 1;
    while (useful < slots && useful / millisAt(useful) < FULL_THROUGHPUT_SHARE * highest) {
      useful++;
    }
    return useful;
  }

  /** Returns whether the figures of the other curve differ by more than the given share. */
  boolean differsNoticeably(LoadCurve other, double share) {
    return isApart(lightMillis, other.lightMillis, share)
        || isApart(kneeRequests, other.kneeRequests, share)
        || isApart(1 + slowdown, 1 + other.slowdown, share);
  }

  private static boolean isApart(double a, double b, double share) {
    return Math.abs(a - b) > share * Math.max(a, b);
  }
}
