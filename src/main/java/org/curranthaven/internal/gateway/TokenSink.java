package org.curranthaven.internal.gateway;

/** Takes the tokens of one answer. */
interface TokenSink {
  /** Returns whether tokens go to the caller as they come. */
  boolean streamed();

  /** Takes the next token. */
  void token(EngineToken token) throws CallerGoneException;

  /** Checks that the caller is still there, while no token comes. */
  void probe() throws CallerGoneException;

  /** Drops what was taken, before another generation starts; only where nothing was delivered. */
  void restart();

  /** The caller has closed its connection. */
  final class CallerGoneException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates the exception. */
    CallerGoneException(Throwable cause) {
      super(cause);
    }
  }
}
