package org.curranthaven.internal.catalog;

/**
 * How a backend server of a service behaves after its start: it is cold for a time, and crashes at
 * a request rate well above the one stated here.
 *
 * @param durationSeconds time for which a backend server stays cold after its start
 * @param requestsPerSecond requests that a cold backend server can handle, from all hosts together
 */
public record ColdStart(double durationSeconds, double requestsPerSecond) {
  private static final double MILLIS_PER_SECOND = 1_000;

  public ColdStart {
    if (!Double.isFinite(durationSeconds) || durationSeconds < 0) {
      throw new IllegalArgumentException(
          "the cold time of a service is " + durationSeconds + " s; it must be 0 or more");
    }
    if (!Double.isFinite(requestsPerSecond) || requestsPerSecond <= 0) {
      throw new IllegalArgumentException(
          "the cold rate of a service is " + requestsPerSecond + " requests/s; it must be above 0");
    }
  }

  /** Returns the time for which a backend server stays cold after its start. */
  public long durationMillis() {
    return (long) (durationSeconds * MILLIS_PER_SECOND);
  }
}
