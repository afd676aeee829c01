package org.curranthaven.internal.gateway;

/** Takes the tokens of one answer. */
interface TokenSink {
  /** Returns whether tokens go to the caller as they come. */
  boolean isStreaming();

  /** Takes the next token. */
  void accept(EngineToken token) throws CallerDisconnectedException;

  /** Checks that the caller is still there, while no token comes. */
  void checkCaller() throws CallerDisconnectedException;

  /** Drops what was taken, before another generation starts; only where nothing was delivered. */
  void reset();

  /** The caller has closed its connection. */
  final class CallerDisconnectedException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates the exception. */
    CallerDisconnectedException(Throwable cause) {
      super(cause);
    }
  }
}
