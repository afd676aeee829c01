package org.curranthaven.internal.dispatch;

/** Why a call was turned away. */
public enum RejectionReason {
  /** No backend server of the service is known. */
  NO_BACKEND,
  /** Room comes too late for the call's target. */
  NO_ROOM_IN_TIME,
  /** The call ran before, and the service's retries are used up. */
  RETRIES_USED_UP,
  /** Every backend server that may take the call was tried. */
  ALL_TRIED
}
