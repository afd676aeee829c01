package org.curranthaven.internal.consensus;

/** Observes the consensus groups of this host. Called on the consensus thread. */
public interface GroupObserver {
  /** Called when the group's entries up to {@code index} have been applied. */
  void applied(int groupId, long index, long nowMillis);

  /** Called when the role or the known leader of this host's replica changed. */
  void roleChanged(int groupId, RaftDecision.RoleChanged change, long nowMillis);

  /** Called once per tick of the consensus loop. */
  void tick(long nowMillis);
}
