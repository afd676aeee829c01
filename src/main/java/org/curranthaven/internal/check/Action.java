package org.curranthaven.internal.check;

/**
 * One step of a simulated run. Replicas and messages are chosen by a number modulo how many there
 * are, so that a list of actions stays valid after some were removed.
 */
public sealed interface Action {
  /** Delivers a message in transit. */
  record Deliver(int message) implements Action {}

  /** Drops a message in transit. */
  record Drop(int message) implements Action {}

  /** Delivers a message and leaves a duplicate in transit. */
  record Repeat(int message) implements Action {}

  /** Advances simulated time. */
  record Advance(int millis) implements Action {}

  /** Proposes a new command at a replica. */
  record Propose(int replica) implements Action {}

  /** Stops a replica; with {@code loseBatch}, at its next disk write, which is lost. */
  record Crash(int replica, boolean loseBatch) implements Action {}

  /** Restarts a stopped replica from its disk. */
  record Restart(int replica) implements Action {}

  /** Cuts the link from one replica to another, in that direction only. */
  record Cut(int from, int to) implements Action {}

  /** Cuts the links between a replica and all others, in both directions. */
  record Isolate(int replica) implements Action {}

  /** Restores all links. */
  record Heal() implements Action {}

  /** Stops a replica, empties its disk and restarts it. */
  record Wipe(int replica) implements Action {}

  /** Asks a replica to transfer leadership, if it is the leader. */
  record Transfer(int replica) implements Action {}

  /** Makes a replica take a snapshot. */
  record Snapshot(int replica) implements Action {}
}
