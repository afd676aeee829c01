package org.curranthaven.internal.clients;

/** A connection, as {@link ClientConnections} acts on it. */
public interface Client {
  /** Closes the connection, whose request was not run. */
  void close(CloseReason reason);
}
