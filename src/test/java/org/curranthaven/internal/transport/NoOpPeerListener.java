package org.curranthaven.internal.transport;

import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.HostRecord;

/** Takes no notice of messages and connections. */
final class NoOpPeerListener implements PeerListener {
  @Override
  public void received(HostRecord from, Envelope message) {}

  @Override
  public void connected(HostRecord host) {}

  @Override
  public void disconnected(HostRecord host) {}
}
