package org.curranthaven.internal.check;

/** Deliberate faults of the system itself, by which a check is shown to be able to fail. */
public enum InjectedFault {
  /** None: the system as it is. */
  NONE,
  /** Messages leave before what they rest on is synced. */
  ACKNOWLEDGE_BEFORE_SYNC,
  /** A wiped disk keeps its old identity, and so its vote. */
  VOTE_ON_WIPED_DISK,
  /** Term and vote are forgotten on a restart. */
  FORGET_VOTE_ON_RESTART,
  /** Every pre-vote is granted at once, as if there were none. */
  NO_PRE_VOTE,
  /** Clocks differ by far more than the lease allows for. */
  CLOCKS_BEYOND_BOUND
}
