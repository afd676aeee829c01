package org.curranthaven.internal.consensus;

/**
 * Timeouts and intervals of a group, in milliseconds of each replica's own monotonic clock.
 *
 * <p>The leader lease is safe only if {@code leaseMillis * (1 + drift) < electionTimeoutMinMillis},
 * where drift is the maximum relative difference in rate between two hosts' clocks.
 *
 * @param heartbeatMillis interval between two heartbeats of a leader
 * @param electionTimeoutMinMillis minimum time without a message from the leader after which a
 *     voter starts an election; a voter grants no vote for this long after a leader's message
 * @param electionTimeoutMaxMillis maximum time without a message from the leader after which a
 *     voter starts an election
 * @param leaseMillis time for which a leader may act without further confirmation after sending a
 *     message that a quorum acknowledged
 */
public record RaftTiming(
    long heartbeatMillis,
    long electionTimeoutMinMillis,
    long electionTimeoutMaxMillis,
    long leaseMillis) {
  /** Maximum relative difference in rate between two clocks for which the lease is safe. */
  public static final double MAX_CLOCK_DRIFT = 0.05;

  public RaftTiming {
    if (heartbeatMillis <= 0 || electionTimeoutMaxMillis <= electionTimeoutMinMillis) {
      throw new IllegalArgumentException(
          "heartbeatMillis must be positive and electionTimeoutMaxMillis above"
              + " electionTimeoutMinMillis: heartbeat "
              + heartbeatMillis
              + ", election timeout "
              + electionTimeoutMinMillis
              + " to "
              + electionTimeoutMaxMillis);
    }
    if (leaseMillis * (1 + MAX_CLOCK_DRIFT) >= electionTimeoutMinMillis) {
      throw new IllegalArgumentException(
          "leaseMillis "
              + leaseMillis
              + " is too long: the lease must end before another leader can be elected, at "
              + electionTimeoutMinMillis
              + " ms, allowing for clock drift");
    }
  }

  /**
   * Returns the timing for data centres a few milliseconds apart. Up to five heartbeats may be lost
   * before a voter starts an election, and a restarted voter delays an election by at most 400 ms.
   */
  public static RaftTiming standard() {
    return new RaftTiming(80, 400, 650, 330);
  }
}
