package org.curranthaven.internal.relay;

/** What is known about a backend server after it has closed the connection of a response. */
enum EndEvidence {
  /** It has said something since, so that it closed the connection itself. */
  SERVER_RUNS,
  /** It refuses new connections. */
  SERVER_CRASHED,
  /** It has said nothing in time, and may have ended in the middle of the response. */
  NONE;

  /** Returns the result of an attempt whose response was complete if its backend server runs. */
  AttemptResult resultOf(AttemptResult.Completed unconfirmed) {
    return switch (this) {
      case SERVER_RUNS -> unconfirmed;
      case SERVER_CRASHED ->
          new AttemptResult.Interrupted("the backend server crashed during the response", true);
      case NONE ->
          new AttemptResult.Interrupted(
              "the connection was closed without a length or last chunk, and the backend server"
                  + " has not been heard since",
              true);
    };
  }
}
