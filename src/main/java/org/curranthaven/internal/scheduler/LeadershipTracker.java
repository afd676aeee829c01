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
  private static final int GROUP = 0;

  /** Time after which a leader that finds no further control host accepts catalogs all the same. */
  private static final long FULL_STRENGTH_WAIT_MILLIS = 8_000;

  private final ConsensusLoop consensus;
  private final int votersWanted;
  private final Listener listener;
  private volatile String leaderHost = "";
  private volatile boolean atFullStrength;
  private long leadingTerm;
  private long leadingSinceMillis;
  private long announcedRevision;

  /** Is told on the consensus thread. */
  interface Listener {
    /** This host leads in the term; 0 when it does not. */
    void leads(long term);

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
  boolean isAtFullStrength() {
    return atFullStrength;
  }

  @Override
  public void applied(int groupId, long index, long nowMillis) {
    if (consensus.stateMachine(GROUP) instanceof FleetState state
        && state.catalog().revision() > announcedRevision) {
      announcedRevision = state.catalog().revision();
      listener.catalogApplied(announcedRevision, state.catalog().document());
    }
  }

  @Override
  public void roleChanged(int groupId, RaftDecision.RoleChanged change, long nowMillis) {
    leaderHost = consensus.leaderHost(GROUP);
    if (change.role() != RaftRole.LEADER) {
      setLeading(0, nowMillis);
    }
  }

  @Override
  public void tick(long nowMillis) {
    RaftCore core = consensus.core(GROUP);
    boolean leads = core != null && core.hasLease(nowMillis);
    leaderHost = consensus.leaderHost(GROUP);
    setLeading(core != null && leads ? core.term() : 0, nowMillis);
    boolean enough =
        core != null && core.votersCommitted() && core.voters().getVotersCount() >= votersWanted;
    atFullStrength =
        leads && (enough || nowMillis - leadingSinceMillis > FULL_STRENGTH_WAIT_MILLIS);
  }

  private void setLeading(long term, long nowMillis) {
    if (term != leadingTerm) {
      leadingTerm = term;
      leadingSinceMillis = nowMillis;
      listener.leads(term);
    }
  }
}
