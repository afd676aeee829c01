package org.curranthaven.internal.clients;

/** What a client has done so far, in the order in which connections are closed for others. */
enum Standing {
  /** Was refused; what it still sends is dropped. */
  REFUSED,
  /** Has sent no request, or part of one whose head is not complete. */
  UNPROVEN,
  /** Sends the body of a request. */
  SENDING_BODY,
  /** Has had a response, or is a known host, and waits. */
  IDLE,
  /** Has a request in progress, which may run at a backend server: never closed for others. */
  IN_PROGRESS
}
