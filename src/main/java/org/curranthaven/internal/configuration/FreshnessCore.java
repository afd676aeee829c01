package org.curranthaven.internal.configuration;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether a host may serve: its configuration is known to be the one in force.
 *
 * <p>A host serves while it holds a lease from the leader of group 0, or leases from a majority of
 * one voter set of group 0, none of whose members has seen a higher revision. A lease is counted
 * from the sending of the request that it answers, on the requesting host's own clock, so that it
 * always ends here before it ends at the one that gave it. Revisions never go down. Not
 * thread-safe.
 */
public final class FreshnessCore {
  /** Length of a lease, in milliseconds. */
  public static final long LEASE_MILLIS = 2_000;

  private final Map<String, VoterLease> voterLeases = new HashMap<>();
  private long revision;
  private long leaderLeaseEndMillis = Long.MIN_VALUE;

  private record VoterLease(long setVersion, int setSize, long endMillis) {}

  /** Returns the revision in force on this host. */
  public long revision() {
    return revision;
  }

  /** Notes that a configuration is in force here; returns false for one that is not newer. */
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
   * Notes the leader's grant for {@code grantedRevision}, answering a request sent at {@code
   * sentAtMillis}. A grant for another revision than the one in force here counts for nothing.
   */
  public void grantedByLeader(long grantedRevision, long sentAtMillis) {
    if (grantedRevision == revision) {
      leaderLeaseEndMillis = Math.max(leaderLeaseEndMillis, sentAtMillis + LEASE_MILLIS);
    }
  }

  /**
   * Notes a lease from a voter of group 0 that has seen no revision above {@code seenRevision}.
   *
   * @param setVersion log index of the voter set that the voter has in force
   * @param setSize number of voters in that set
   */
  public void grantedByVoter(
      String identity, long seenRevision, long setVersion, int setSize, long sentAtMillis) {
    if (seenRevision == revision) {
      voterLeases.put(identity, new VoterLease(setVersion, setSize, sentAtMillis + LEASE_MILLIS));
    }
  }

  /** Notes that a voter gives no lease. */
  public void deniedByVoter(String identity) {
    voterLeases.remove(identity);
  }

  /** Returns the time until which this host may take new work, unless it hears more. */
  public long servesUntilMillis(long nowMillis) {
    if (revision == 0) {
      return Long.MIN_VALUE;
    }
    long end = leaderLeaseEndMillis;
    for (VoterLease lease : voterLeases.values()) {
      if (lease.endMillis() > Math.max(end, nowMillis) && isGrantedByMajority(lease)) {
        end = lease.endMillis();
      }
    }
    return end;
  }

  /** Returns whether a majority of the lease's voter set gave leases that last as long as it. */
  private boolean isGrantedByMajority(VoterLease lease) {
    long holders =
        voterLeases.values().stream()
            .filter(other -> other.setVersion() == lease.setVersion())
            .filter(other -> other.endMillis() >= lease.endMillis())
            .count();
    return holders * 2 > lease.setSize();
  }

  /** Returns whether this host may take new work. */
  public boolean mayServe(long nowMillis) {
    return nowMillis < servesUntilMillis(nowMillis);
  }
}
