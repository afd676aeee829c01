package org.curranthaven.internal.configuration;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether a host may serve, which it may only while its configuration is known to be the
 * latest.
 *
 * <p>A host serves while it holds a lease from the leader of group 0, or leases from a majority of
 * the voters of group 0, which must report the same voter set and have seen no higher revision. A
 * lease starts when the host sent the request for it, measured on that host's own clock, so that it
 * always expires here before it expires at its grantor. Revisions never decrease. Not thread-safe.
 */
public final class FreshnessCore {
  /** Duration of a lease, in milliseconds. */
  public static final long LEASE_MILLIS = 2_000;

  private final Map<String, VoterLease> voterLeases = new HashMap<>();
  private long revision;
  private long leaderLeaseEndMillis = Long.MIN_VALUE;

  private record VoterLease(long setVersion, int setSize, long endMillis) {}

  /** Returns the revision that is active on this host; 0 if none is. */
  public long revision() {
    return revision;
  }

  /**
   * Makes a revision the active one and drops the leases for the previous one.
   *
   * @return false, without any change, if the revision is not newer than the active one
   */
  public boolean activate(long newRevision) {
    if (newRevision <= revision) {
      return false;
    }
    revision = newRevision;
    voterLeases.clear();
    leaderLeaseEndMillis = Long.MIN_VALUE;
    return true;
  }

  /**
   * Records a lease granted by the leader. A lease for any revision but the active one is ignored.
   *
   * @param sentAtMillis when this host sent the request for the lease
   */
  public void grantedByLeader(long grantedRevision, long sentAtMillis) {
    if (grantedRevision == revision) {
      leaderLeaseEndMillis = Math.max(leaderLeaseEndMillis, sentAtMillis + LEASE_MILLIS);
    }
  }

  /**
   * Records a lease from a voter of group 0 that has seen no revision above {@code seenRevision}.
   *
   * @param setVersion log index of the voter set that is active at the voter
   * @param setSize number of voters in that set
   * @param sentAtMillis when this host sent the request for the lease
   */
  public void grantedByVoter(
      String identity, long seenRevision, long setVersion, int setSize, long sentAtMillis) {
    if (seenRevision == revision) {
      voterLeases.put(identity, new VoterLease(setVersion, setSize, sentAtMillis + LEASE_MILLIS));
    }
  }

  /** Records that a voter has denied a lease, and drops any earlier lease from it. */
  public void deniedByVoter(String identity) {
    voterLeases.remove(identity);
  }

  /** Returns the time until which this host may accept new work with the leases it holds. */
  public long servesUntilMillis(long nowMillis) {
    if (revision == 0) {
      return Long.MIN_VALUE;
    }
    long endMillis = leaderLeaseEndMillis;
    for (VoterLease lease : voterLeases.values()) {
      if (lease.endMillis() > Math.max(endMillis, nowMillis) && isGrantedByMajority(lease)) {
        endMillis = lease.endMillis();
      }
    }
    return endMillis;
  }

  /**
   * Returns whether a majority of the lease's voter set granted leases that last at least as long.
   */
  private boolean isGrantedByMajority(VoterLease lease) {
    long grantors =
        voterLeases.values().stream()
            .filter(other -> other.setVersion() == lease.setVersion())
            .filter(other -> other.endMillis() >= lease.endMillis())
            .count();
    return grantors * 2 > lease.setSize();
  }

  /** Returns whether this host may accept new work. */
  public boolean mayServe(long nowMillis) {
    return nowMillis < servesUntilMillis(nowMillis);
  }
}
