package org.curranthaven.internal.relay;

import org.curranthaven.internal.dispatch.BackendStatements;

/**
 * Status and headers of a backend server's response, decoded.
 *
 * @param status HTTP status
 * @param requestId id of the request that the response belongs to; empty if not stated
 * @param sealed whether the response carries the seal header, which proves that it comes from the
 *     backend server itself
 * @param notRun whether the response states that the request did not run and will not run
 * @param misdirected whether the responding backend server is not the one that the request expects
 * @param eventStream whether the body is an event stream
 * @param keepAliveMillis how long the connection may stay idle; 0 if not stated
 * @param closesConnection whether the connection closes after the response
 * @param statements what the response states about its backend server
 */
public record ResponseHead(
    int status,
    String requestId,
    boolean sealed,
    boolean notRun,
    boolean misdirected,
    boolean eventStream,
    long keepAliveMillis,
    boolean closesConnection,
    BackendStatements statements) {
  /** Returns whether the status is a success (2xx). */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }

  /** Returns whether the response comes from the backend server that the request was meant for. */
  public boolean isFromExpectedBackend() {
    return !requestId.isEmpty() && !misdirected;
  }
}
