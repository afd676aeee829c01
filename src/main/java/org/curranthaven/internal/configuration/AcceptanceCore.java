package org.curranthaven.internal.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Decides, on the leader of group 0, when a committed configuration revision is active on every
 * host that may serve, so that the change can be reported to the operator as accepted.
 *
 * <p>A host may serve an older revision until the last lease granted to it for that revision has
 * expired. Voters other than the leader grant leases too. A majority of the voters must have
 * reported their leases after the revision reached them: any majority that granted leases for an
 * older revision shares a member with it. Leases granted before the current leadership or under an
 * earlier voter set are unknown, so the leader waits until they must have expired. Not thread-safe.
 */
public final class AcceptanceCore {
  /**
   * Longest time that a lease granted now can last, in milliseconds: 5% above its nominal length,
   * for hosts whose clock runs slow.
   */
  public static final long MAX_LEASE_MILLIS = FreshnessCore.LEASE_MILLIS * 21 / 20;

  private final Map<String, HostLease> leasesByHost = new HashMap<>();
  private final Map<String, Long> revisionByVoter = new HashMap<>();
  private Set<String> voters = Set.of();
  private final TreeMap<Long, List<Long>> pendingIdsByRevision = new TreeMap<>();
  private long unknownLeasesEndMillis = Long.MAX_VALUE;

  private record HostLease(long revision, long endMillis) {}

  /**
   * Handles the start of leadership; leases granted earlier may last for another {@link
   * #MAX_LEASE_MILLIS}.
   */
  public void leadershipStarted(long nowMillis) {
    leasesByHost.clear();
    revisionByVoter.clear();
    unknownLeasesEndMillis = nowMillis + MAX_LEASE_MILLIS;
  }

  /**
   * Records the active voter set. If it has changed, leases granted under the previous one may be
   * unknown.
   */
  public void setVoters(Set<String> identities, long nowMillis) {
    if (!voters.equals(identities)) {
      voters = Set.copyOf(identities);
      if (unknownLeasesEndMillis != Long.MAX_VALUE) {
        unknownLeasesEndMillis = nowMillis + MAX_LEASE_MILLIS;
      }
    }
  }

  /**
   * Records that a voter has {@code revision} and has reported every lease that it granted for an
   * older one.
   */
  public void voterReported(String identity, long revision) {
    revisionByVoter.merge(identity, revision, Math::max);
  }

  /**
   * Handles the end of leadership and returns the ids of the pending changes, whose outcome is
   * unknown.
   */
  public List<Long> leadershipEnded() {
    List<Long> pendingIds = new ArrayList<>();
    pendingIdsByRevision.values().forEach(pendingIds::addAll);
    pendingIdsByRevision.clear();
    leasesByHost.clear();
    unknownLeasesEndMillis = Long.MAX_VALUE;
    return pendingIds;
  }

  /**
   * Handles a host's lease request and returns whether the lease is granted, which it is only for
   * the latest committed revision.
   */
  public boolean requestLease(
      String host, long hostRevision, long committedRevision, long nowMillis) {
    if (hostRevision != committedRevision) {
      return false;
    }
    leasesByHost.put(host, new HostLease(hostRevision, nowMillis + MAX_LEASE_MILLIS));
    return true;
  }

  /** Records a lease that a control host other than the leader granted to a host. */
  public void leaseGrantedByVoter(
      String host, long revision, long remainingMillis, long nowMillis) {
    long endMillis = nowMillis + remainingMillis + (MAX_LEASE_MILLIS - FreshnessCore.LEASE_MILLIS);
    leasesByHost.merge(
        host,
        new HostLease(revision, endMillis),
        (known, added) ->
            known.revision() > added.revision() || known.endMillis() > added.endMillis()
                ? known
                : added);
  }

  /** Registers a change that is pending until {@code revision} is active on every host. */
  public void awaitActivation(long revision, long pendingId) {
    pendingIdsByRevision.computeIfAbsent(revision, r -> new ArrayList<>()).add(pendingId);
  }

  /**
   * Removes and returns the ids of the pending changes whose revision is now active on every host
   * that may serve.
   */
  public List<Long> drainAccepted(long nowMillis) {
    List<Long> accepted = new ArrayList<>();
    while (!pendingIdsByRevision.isEmpty()
        && isActiveEverywhere(pendingIdsByRevision.firstKey(), nowMillis)) {
      accepted.addAll(pendingIdsByRevision.pollFirstEntry().getValue());
    }
    return accepted;
  }

  /** Returns whether no host can still be serving a revision below {@code revision}. */
  public boolean isActiveEverywhere(long revision, long nowMillis) {
    leasesByHost.values().removeIf(lease -> lease.endMillis() <= nowMillis);
    return nowMillis >= unknownLeasesEndMillis
        && isReportedByMajority(revision)
        && leasesByHost.values().stream().allMatch(lease -> lease.revision() >= revision);
  }

  private boolean isReportedByMajority(long revision) {
    long reported =
        voters.stream().filter(id -> revisionByVoter.getOrDefault(id, 0L) >= revision).count();
    return reported * 2 > voters.size();
  }

  /** Returns the number of hosts that hold a lease. */
  public int leaseCount(long nowMillis) {
    leasesByHost.values().removeIf(lease -> lease.endMillis() <= nowMillis);
    return leasesByHost.size();
  }
}
