package org.curranthaven.internal.relay;

/**
 * An engine's response to a request to copy a running request's state to another engine.
 *
 * @param handle handle under which the copied state, or the state that the engine still holds, can
 *     be used; empty if there is none
 */
public record TransferResponse(Outcome outcome, String handle) {
  /** What became of the request to copy. */
  public enum Outcome {
    /** The copy is complete. */
    COPIED,
    /** The engine does not run the request. */
    NOT_RUNNING,
    /** The engine copied nothing; it may still run the request. */
    REJECTED,
    /** The engine was reached and sent no complete response; it may still run the request. */
    NO_RESPONSE,
    /** The engine's host refused the connection: no process listens at the address. */
    REFUSED,
    /** No network path leads to the engine. */
    NO_CONNECTION,
    /** This host could open no connection at all, which shows nothing about the engine. */
    NOT_SENT
  }

  /** Returns the outcome without a handle. */
  static TransferResponse withoutHandle(Outcome outcome) {
    return new TransferResponse(outcome, "");
  }
}
