package org.curranthaven.internal.clients;

/** Why a connection is closed for others. */
public enum CloseReason {
  /** Its address has as many connections as it may have. */
  TOO_MANY_CONNECTIONS,
  /** The memory for what clients send is in use. */
  MEMORY_IN_USE,
  /** It holds memory of a large body and sends none of it. */
  STALLED
}
