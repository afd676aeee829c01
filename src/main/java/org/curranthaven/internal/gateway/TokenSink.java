package org.curranthaven.internal.gateway;

/** Receives the tokens of one response. */
interface TokenSink {
  /** Returns whether tokens are sent to the caller as they arrive. */
  boolean isStreaming();

  /** Accepts the next token. */
  void accept(EngineToken token) throws CallerDisconnectedException;

  /** Checks that the caller is still connected while no token arrives. */
  void checkCaller() throws CallerDisconnectedException;

  /** Prepares for another generation; not allowed after a token was sent to the caller. */
  void reset();

  /** Thrown when the caller has closed its connection. */
  final class CallerDisconnectedException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates the exception. */
    CallerDisconnectedException(Throwable cause) {
      super(cause);
    }
  }
}
