package org.curranthaven.internal.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * On the leader of group 0: decides when a committed revision is in force on every host that may
 * serve, so that the operator can be told that it is accepted.
 *
 * <p>A host may serve an older revision until the lease it was last granted for it has ended.
 * Leases also come from voters that do not lead; a majority of the voters must have reported theirs
 * after the revision reached them, since any majority that gave leases for an older one shares a
 * member with it. Leases given before this leadership, or under an earlier voter set, are unknown,
 * and the leader waits until they must have ended. Not thread-safe.
 */
public final class AcceptanceCore {
  /** How long a lease given now can last on a host whose clock runs slow, in milliseconds. */
  public static final long MAX_LEASE_MILLIS = FreshnessCore.LEASE_MILLIS * 21 / 20;

  private final Map<String, HostLease> leasesByHost = new HashMap<>();
  private final Map<String, Long> revisionByVoter = new HashMap<>();
  private Set<String> voters = Set.of();
  private final TreeMap<Long, List<Long>> waitersByRevision = new TreeMap<>();
  private long unknownLeasesEndMillis = Long.MAX_VALUE;

  private record HostLease(long revision, long endMillis) {}

  /** Starts leadership: leases given before may last until the bound has passed. */
  public void leadershipStarted(long nowMillis) {
    leasesByHost.clear();
    revisionByVoter.clear();
    unknownLeasesEndMillis = nowMillis + MAX_LEASE_MILLIS;
  }

  /** Notes the voter set in force; leases given under another one may be unknown. */
  public void setVoters(Set<String> identities, long nowMillis) {
    if (!voters.equals(identities)) {
      voters = Set.copyOf(identities);
      if (unknownLeasesEndMillis != Long.MAX_VALUE) {
        unknownLeasesEndMillis = nowMillis + MAX_LEASE_MILLIS;
      }
    }
  }

  /**
   * Notes that a voter has {@code revision} and has told every lease that it gave for an older one.
   */
  public void voterReported(String identity, long revision) {
    revisionByVoter.merge(identity, revision, Math::max);
  }

  /** Ends leadership and returns the waiters, whose changes have an open fate. */
  public List<Long> leadershipEnded() {
    List<Long> waiters = new ArrayList<>();
    waitersByRevision.values().forEach(waiters::addAll);
    waitersByRevision.clear();
    leasesByHost.clear();
    unknownLeasesEndMillis = Long.MAX_VALUE;
    return waiters;
  }

  /**
   * Notes a host's request and returns whether to grant a lease: only for the latest committed
   * revision.
   */
  public boolean requestLease(
      String host, long hostRevision, long committedRevision, long nowMillis) {
    if (hostRevision != committedRevision) {
      return false;
    }
    leasesByHost.put(host, new HostLease(hostRevision, nowMillis + MAX_LEASE_MILLIS));
    return true;
  }

  /** Notes a lease that a control host other than the leader has given to a host. */
  public void leaseGrantedByVoter(
      String host, long revision, long remainingMillis, long nowMillis) {
    long end = nowMillis + remainingMillis + (MAX_LEASE_MILLIS - FreshnessCore.LEASE_MILLIS);
    leasesByHost.merge(
        host,
        new HostLease(revision, end),
        (known, added) ->
            known.revision() > added.revision() || known.endMillis() > added.endMillis()
                ? known
                : added);
  }

  /** Waits for {@code revision} to be in force everywhere on behalf of {@code waiter}. */
  public void awaitActivation(long revision, long waiter) {
    waitersByRevision.computeIfAbsent(revision, r -> new ArrayList<>()).add(waiter);
  }

  /** Returns the waiters whose revision is now in force on every host that may serve. */
  public List<Long> drainAccepted(long nowMillis) {
    List<Long> accepted = new ArrayList<>();
    while (!waitersByRevision.isEmpty()
        && isActiveEverywhere(waitersByRevision.firstKey(), nowMillis)) {
      accepted.addAll(waitersByRevision.pollFirstEntry().getValue());
    }
    return accepted;
  }

  /** Returns whether no host can be serving a revision below {@code revision}. */
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
