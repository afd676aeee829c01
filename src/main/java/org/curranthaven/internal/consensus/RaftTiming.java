package org.curranthaven.internal.consensus;

/**
 * Time bounds of a group, all in milliseconds of a replica's own monotonic clock.
 *
 * <p>Safety of the leader lease needs {@code leaseMillis * (1 + drift) < electionTimeoutMinMillis},
 * where drift is the largest difference in rate between two hosts' clocks.
 *
 * @param heartbeatMillis time between two heartbeats of a leader
 * @param electionTimeoutMinMillis shortest silence after which a voter stands for election; for
 *     this long after a leader's message a voter grants no vote
 * @param electionTimeoutMaxMillis longest such silence
 * @param leaseMillis how long a leader acts alone after sending a message that a quorum answered
 */
public record RaftTiming(
    long heartbeatMillis,
    long electionTimeoutMinMillis,
    long electionTimeoutMaxMillis,
    long leaseMillis) {
  /** Largest difference in rate between two clocks that the lease allows, as a share. */
  public static final double MAX_CLOCK_DRIFT = 0.05;

  public RaftTiming {
    if (heartbeatMillis <= 0 || electionTimeoutMaxMillis <= electionTimeoutMinMillis) {
      throw new IllegalArgumentException("heartbeat and election timeouts must increase");
    }
    if (leaseMillis * (1 + MAX_CLOCK_DRIFT) >= electionTimeoutMinMillis) {
      throw new IllegalArgumentException(
          "leaseMillis must end before another leader can be chosen");
    }
  }

  /**
   * Returns the bounds used between data centres a few milliseconds apart: five heartbeats may be
   * lost before a leader is, and a restarted voter keeps an election waiting for 400 ms only.
   */
  public static RaftTiming standard() {
    return new RaftTiming(80, 400, 650, 330);
  }
}
