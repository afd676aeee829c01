package org.curranthaven.internal.check;

/** Faults injected into the system on purpose, to show that the simulation detects them. */
public enum InjectedFault {
  /** No fault. */
  NONE,
  /** A replica sends messages before the state that they depend on is synced to disk. */
  ACKNOWLEDGE_BEFORE_SYNC,
  /** A replica keeps its identity, and so its vote, after its disk was emptied. */
  VOTE_ON_WIPED_DISK,
  /** A replica loses its term and vote on a restart. */
  FORGET_VOTE_ON_RESTART,
  /** Every pre-vote is granted at once, as if there were no pre-vote phase. */
  NO_PRE_VOTE,
  /** Clocks drift apart by far more than the lease allows for. */
  CLOCKS_BEYOND_BOUND
}
