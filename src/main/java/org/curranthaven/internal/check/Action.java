package org.curranthaven.internal.check;

/**
 * One step of a run. The numbers pick a replica or message modulo how many there are, so that a run
 * still makes sense after some of its actions were left out.
 */
public sealed interface Action {
  /** Delivers a message under way. */
  record Deliver(int message) implements Action {}

  /** Loses a message under way. */
  record Drop(int message) implements Action {}

  /** Delivers a message and leaves a copy under way. */
  record Repeat(int message) implements Action {}

  /** Lets time pass. */
  record Advance(int millis) implements Action {}

  /** Proposes a new command at a replica. */
  record Propose(int replica) implements Action {}

  /** Stops a replica; with {@code loseBatch} in the middle of its next write. */
  record Crash(int replica, boolean loseBatch) implements Action {}

  /** Starts a stopped replica on what its disk holds. */
  record Restart(int replica) implements Action {}

  /** Cuts the way from one replica to another, in that direction only. */
  record Cut(int from, int to) implements Action {}

  /** Cuts a replica off from all others, both ways. */
  record Isolate(int replica) implements Action {}

  /** Mends every cut. */
  record Heal() implements Action {}

  /** Stops a replica, empties its disk, and starts it. */
  record Wipe(int replica) implements Action {}

  /** Asks a replica to hand over leadership, if it leads. */
  record Transfer(int replica) implements Action {}

  /** Lets a replica take a snapshot. */
  record Snapshot(int replica) implements Action {}
}
