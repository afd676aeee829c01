package org.curranthaven.internal.consensus;

/** Observes the consensus groups of this host. Called on the consensus thread. */
public interface GroupObserver {
  /** Called when the group's entries up to {@code index} have been applied. */
  void applied(int groupId, long index, long nowMillis);

  /**
   * Called after a batch of decisions has been carried out. What depends on the latest state only
   * belongs here: a restarted host applies its whole log in one batch, while the others wait for it
   * to acknowledge.
   */
  default void batchEnded(long nowMillis) {}

  /** Called when the role or the known leader of this host's replica changed. */
  void roleChanged(int groupId, RaftDecision.RoleChanged change, long nowMillis);

  /**
   * Called when this host begins to transfer the leadership of its groups, before it sends anything
   * about it: another host may lead from then on.
   */
  default void leadershipTransferStarted(long nowMillis) {}

  /** Called once per tick of the consensus loop. */
  void tick(long nowMillis);
}
