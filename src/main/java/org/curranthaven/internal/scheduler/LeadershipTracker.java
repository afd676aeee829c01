package org.curranthaven.internal.scheduler;

import com.google.protobuf.ByteString;
import org.curranthaven.internal.configuration.FleetState;
import org.curranthaven.internal.consensus.ConsensusLoop;
import org.curranthaven.internal.consensus.GroupObserver;
import org.curranthaven.internal.consensus.RaftCore;
import org.curranthaven.internal.consensus.RaftDecision;
import org.curranthaven.internal.consensus.RaftRole;

/**
 * Watches group 0 on the consensus thread and tells when this host begins or ceases to lead, and
 * when the catalog changes.
 */
final class LeadershipTracker implements GroupObserver {
  private static final int CONTROL_GROUP_ID = 0;

  /** Time after which a leader that finds no further control host accepts catalogs all the same. */
  private static final long MISSING_VOTERS_GRACE_MILLIS = 8_000;

  private final ConsensusLoop consensus;
  private final int votersWanted;
  private final Listener listener;
  private volatile String leaderHost = "";
  private volatile boolean catalogsAccepted;
  private long leadingTerm;
  private long leadingSinceMillis;
  private long publishedRevision;

  /** Is told on the consensus thread. */
  interface Listener {
    /** This host leads in the term; 0 when it does not. */
    void leadershipChanged(long term);

    /** A catalog document was applied. */
    void catalogApplied(long revision, ByteString document);
  }

  LeadershipTracker(ConsensusLoop consensus, int votersWanted, Listener listener) {
    this.consensus = consensus;
    this.votersWanted = votersWanted;
    this.listener = listener;
  }

  /** Returns the host that leads, or an empty text. Thread-safe. */
  String leaderHost() {
    return leaderHost;
  }

  /** Returns whether enough hosts vote to bear the tolerated losses. Thread-safe. */
  boolean canAcceptCatalogs() {
    return catalogsAccepted;
  }

  @Override
  public void applied(int groupId, long index, long nowMillis) {
    if (consensus.machine(CONTROL_GROUP_ID) instanceof FleetState state
        && state.catalog().revision() > publishedRevision) {
      publishedRevision = state.catalog().revision();
      listener.catalogApplied(publishedRevision, state.catalog().document());
    }
  }

  @Override
  public void roleChanged(int groupId, RaftDecision.RoleChanged change, long nowMillis) {
    leaderHost = consensus.leaderHost(CONTROL_GROUP_ID);
    if (change.role() != RaftRole.LEADER) {
      updateLeadership(0, nowMillis);
    }
  }

  @Override
  public void tick(long nowMillis) {
    RaftCore core = consensus.core(CONTROL_GROUP_ID);
    boolean leads = core != null && core.hasLease(nowMillis);
    leaderHost = consensus.leaderHost(CONTROL_GROUP_ID);
    updateLeadership(core != null && leads ? core.term() : 0, nowMillis);
    boolean enough =
        core != null && core.votersCommitted() && core.voters().getVotersCount() >= votersWanted;
    catalogsAccepted =
        leads && (enough || nowMillis - leadingSinceMillis > MISSING_VOTERS_GRACE_MILLIS);
  }

  private void updateLeadership(long term, long nowMillis) {
    if (term != leadingTerm) {
      leadingTerm = term;
      leadingSinceMillis = nowMillis;
      listener.leadershipChanged(term);
    }
  }
}
