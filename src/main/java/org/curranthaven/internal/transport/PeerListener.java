package org.curranthaven.internal.transport;

import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.HostRecord;

/** Receives what other hosts send. Called on network threads; must not block. */
public interface PeerListener {
  /** A message arrived from a host. */
  void received(HostRecord from, Envelope message);

  /** A connection to the host is up. */
  void connected(HostRecord host);

  /** The last connection to the host is gone. */
  void disconnected(HostRecord host);
}
