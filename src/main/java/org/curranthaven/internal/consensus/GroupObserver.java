package org.curranthaven.internal.consensus;

/** Is told what happens to the groups of this host, on the consensus thread. */
public interface GroupObserver {
  /** Entries up to {@code index} of the group are applied. */
  void applied(int groupId, long index, long nowMillis);

  /** The role of this host's replica changed. */
  void roleChanged(int groupId, RaftDecision.RoleChanged change, long nowMillis);

  /** Time has passed. */
  void tick(long nowMillis);
}
