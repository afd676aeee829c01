package org.curranthaven.internal.relay;

/**
 * A response, or bytes of one, on a connection to a backend server that is not accepted for the
 * request that the connection carries.
 *
 * @param address address of the backend server
 * @param requestId id of the request that the connection carries; empty for none
 * @param responseId id that the response states; empty for none
 * @param status HTTP status; 0 if unknown
 * @param ageMillis time since the response with the same id on this connection ended; -1 if there
 *     was none that is remembered
 */
record StrayResponse(
    Reason reason,
    String address,
    String requestId,
    String responseId,
    int status,
    long ageMillis) {
  static final long UNKNOWN_AGE = -1;

  /** Why the response is not accepted. */
  enum Reason {
    /** It states the id of another request; skipped. */
    OTHER_REQUEST,
    /** It states no id on a connection in use again; the request is broken off. */
    NO_REQUEST_ID,
    /** No request waits for a response; the connection is closed. */
    NO_REQUEST_WAITING,
    /** It is inside the body of the response to the request, which is broken off. */
    INSIDE_BODY,
    /** It is not HTTP, or its framing is ambiguous; the request is broken off. */
    MALFORMED,
    /** Too many or too large responses were skipped; the request is broken off. */
    SKIP_LIMIT
  }
}
