package org.curranthaven.internal.scheduler;

import com.google.protobuf.ByteString;
import org.curranthaven.internal.configuration.FleetState;
import org.curranthaven.internal.consensus.ConsensusLoop;
import org.curranthaven.internal.consensus.GroupObserver;
import org.curranthaven.internal.consensus.RaftCore;
import org.curranthaven.internal.consensus.RaftDecision;
import org.curranthaven.internal.consensus.RaftRole;
import org.jspecify.annotations.Nullable;

/**
 * Observes consensus group 0 and notifies a listener when this host gains or loses leadership and
 * when a new catalog revision is applied. Confined to the consensus thread, except for the methods
 * marked as thread-safe.
 */
final class LeadershipTracker implements GroupObserver {
  private static final int CONTROL_GROUP_ID = 0;

  /**
   * Time after which a leader accepts catalogs with fewer voters than wanted, when no further
   * control host has joined.
   */
  private static final long MISSING_VOTERS_GRACE_MILLIS = 8_000;

  private final ConsensusLoop consensus;
  private final int votersWanted;
  private final Listener listener;
  private volatile String leaderHost = "";
  private volatile boolean canAcceptCatalogs;
  private volatile long leaseEndMillis = Long.MIN_VALUE;
  private long leadingTerm;

  /** Term in which this host holds the lease of the leader; 0 if it does not. */
  private long leasedTerm;

  private long leadingSinceMillis;
  private long publishedRevision;

  /** Receives leadership and catalog changes. Called on the consensus thread. */
  interface Listener {
    /**
     * Called when this host becomes the leader in the given term, or 0 when it stops leading.
     *
     * @param state replicated state with all that earlier leaders have committed, to be read before
     *     this method returns; null if this host stops leading
     */
    void leadershipChanged(long term, @Nullable FleetState state);

    /** Called when a catalog document has been applied that no later one has replaced yet. */
    void catalogApplied(long revision, ByteString document);
  }

  LeadershipTracker(ConsensusLoop consensus, int votersWanted, Listener listener) {
    this.consensus = consensus;
    this.votersWanted = votersWanted;
    this.listener = listener;
  }

  /** Returns the name of the leader's host, or an empty string if unknown. Thread-safe. */
  String leaderHost() {
    return leaderHost;
  }

  /**
   * Returns whether this host leads and no other can lead now. Unlike {@link Listener}, this takes
   * into account that the consensus thread may have been suspended. Thread-safe.
   */
  boolean hasLease(long nowMillis) {
    return nowMillis < leaseEndMillis;
  }

  /**
   * Returns whether this host, as the leader, accepts new catalogs: either enough hosts vote to
   * survive the tolerated losses, or {@link #MISSING_VOTERS_GRACE_MILLIS} has passed. Thread-safe.
   */
  boolean canAcceptCatalogs() {
    return canAcceptCatalogs;
  }

  @Override
  public void applied(int groupId, long index, long nowMillis) {}

  @Override
  public void batchEnded(long nowMillis) {
    FleetState state = fleetState();
    if (state != null && state.catalog().revision() > publishedRevision) {
      publishedRevision = state.catalog().revision();
      listener.catalogApplied(publishedRevision, state.catalog().document());
    }
    if (leasedTerm > 0) {
      // Only now are the entries applied that earlier leaders have committed.
      updateLeadership(leasedTerm, nowMillis);
    }
  }

  private @Nullable FleetState fleetState() {
    return consensus.stateMachine(CONTROL_GROUP_ID) instanceof FleetState state ? state : null;
  }

  @Override
  public void roleChanged(int groupId, RaftDecision.RoleChanged change, long nowMillis) {
    leaderHost = consensus.leaderHost(CONTROL_GROUP_ID);
    if (change.role() != RaftRole.LEADER) {
      leasedTerm = 0;
      updateLeadership(0, nowMillis);
    }
  }

  @Override
  public void leadershipTransferStarted(long nowMillis) {
    updateLease(nowMillis);
  }

  @Override
  public void tick(long nowMillis) {
    updateLease(nowMillis);
  }

  private void updateLease(long nowMillis) {
    RaftCore core = consensus.core(CONTROL_GROUP_ID);
    boolean hasLease = core != null && core.hasLease(nowMillis);
    leaseEndMillis = core != null && hasLease ? core.leaseEndMillis(nowMillis) : Long.MIN_VALUE;
    leaderHost = consensus.leaderHost(CONTROL_GROUP_ID);
    leasedTerm = core != null && hasLease ? core.term() : 0;
    if (leasedTerm == 0) {
      updateLeadership(0, nowMillis);
    }
    boolean enoughVoters =
        core != null && core.votersCommitted() && core.voters().getVotersCount() >= votersWanted;
    canAcceptCatalogs =
        hasLease && (enoughVoters || nowMillis - leadingSinceMillis > MISSING_VOTERS_GRACE_MILLIS);
  }

  private void updateLeadership(long term, long nowMillis) {
    if (term != leadingTerm) {
      leadingTerm = term;
      leadingSinceMillis = nowMillis;
      listener.leadershipChanged(term, term > 0 ? fleetState() : null);
    }
  }
}
