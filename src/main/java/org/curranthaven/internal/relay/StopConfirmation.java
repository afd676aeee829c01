package org.curranthaven.internal.relay;

/**
 * Decides from the responses to stop requests whether an engine may still run a request. Not
 * thread-safe.
 */
final class StopConfirmation {
  /** A single connection may also fail because its first packet was lost. */
  static final int MIN_FAILED_CONNECTIONS = 3;

  /**
   * Time for which an engine is asked to stop an interrupted request; below the time that callers
   * wait for the next event of a stream.
   */
  private static final long TIMEOUT_MILLIS = 1_500;

  private int failedConnections;

  /** Whether an earlier stop request may have stopped the request. */
  private boolean mayHaveStopped;

  /** What a response shows. */
  enum Verdict {
    /** The engine stated that it does not run the request, which nothing has stopped before. */
    NOT_RUNNING,
    /** The engine does not run the request any more, and may have stopped it before its end. */
    STOPPED,
    /** No process runs at the engine's address, or no network path leads there. */
    GONE,
    /** The request may still run, and the engine has not been told to stop it. */
    RUNNING,
    /** The engine was told to stop the request and may have done so or not. */
    UNCONFIRMED,
    /** Nothing yet; the engine is to be asked again. */
    ASK_AGAIN
  }

  /** What is known of the connection on which the engine sends its response. */
  enum StreamConnection {
    /** It is open, and nothing was received since the first stop request. */
    SILENT,
    /** It is open, and something was received since the first stop request. */
    ACTIVE,
    ENDED
  }

  /**
   * Decides on a response that names no state to resume from.
   *
   * @param elapsedMillis time since the first stop request
   */
  Verdict decide(
      TransferResponse.Outcome outcome, StreamConnection connection, long elapsedMillis) {
    boolean ended = connection == StreamConnection.ENDED;
    if (outcome != TransferResponse.Outcome.NO_CONNECTION) {
      failedConnections = 0;
    }
    return switch (outcome) {
      case NOT_RUNNING -> mayHaveStopped ? Verdict.STOPPED : Verdict.NOT_RUNNING;
      // The end of a process would have closed the open connection as well.
      case REFUSED -> ended ? Verdict.GONE : Verdict.RUNNING;
      case NO_CONNECTION -> afterFailedConnection(connection);
      case NOT_SENT -> {
        if (!ended) {
          yield Verdict.RUNNING;
        }
        yield elapsedMillis < TIMEOUT_MILLIS ? Verdict.ASK_AGAIN : Verdict.UNCONFIRMED;
      }
      case COPIED, REJECTED, NO_RESPONSE -> {
        mayHaveStopped = true;
        yield ended && elapsedMillis < TIMEOUT_MILLIS ? Verdict.ASK_AGAIN : Verdict.UNCONFIRMED;
      }
    };
  }

  private Verdict afterFailedConnection(StreamConnection connection) {
    if (connection == StreamConnection.ACTIVE) {
      return Verdict.RUNNING;
    }
    failedConnections++;
    return failedConnections < MIN_FAILED_CONNECTIONS ? Verdict.ASK_AGAIN : Verdict.GONE;
  }
}
