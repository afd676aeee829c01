package org.curranthaven.internal.consensus;

/** Role of a replica in its group. */
public enum RaftRole {
  FOLLOWER,
  PRE_CANDIDATE,
  CANDIDATE,
  LEADER
}
