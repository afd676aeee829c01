package org.curranthaven.internal.relay;

/**
 * Status and headers of a backend server's answer, decoded.
 *
 * @param status HTTP status
 * @param requestId request that the answer belongs to; empty when it does not tell
 * @param sealed whether the backend server vouches for the answer
 * @param notRun whether it states that the request did not run and never will
 * @param misdirected whether another backend server than the one expected has the address
 * @param eventStream whether the body is a series of events
 * @param keepAliveMillis how long the connection may stay idle; 0 when the answer does not tell
 * @param closesConnection whether the connection ends with the answer
 */
public record ResponseHead(
    int status,
    String requestId,
    boolean sealed,
    boolean notRun,
    boolean misdirected,
    boolean eventStream,
    long keepAliveMillis,
    boolean closesConnection) {
  /** Returns whether the answer is a success. */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }
}
