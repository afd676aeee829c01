package org.curranthaven.internal.transport;

import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.HostRecord;

/**
 * Receives messages and connection events of other hosts. Called on network threads; must not
 * block.
 */
public interface PeerListener {
  /** Called when a message from a host arrives. */
  void received(HostRecord from, Envelope message);

  /**
   * Called when a connection to the host is established, also when it replaces an earlier one; then
   * {@link #disconnected} is not called for the earlier one.
   */
  void connected(HostRecord host);

  /** Called when the connection to the host is lost and no other has replaced it. */
  void disconnected(HostRecord host);
}
