package org.curranthaven.internal.scheduler;

import org.curranthaven.internal.transport.SharedMessage;
import org.curranthaven.internal.transport.wire.Envelope;

/** Sends messages to gateways, best effort. */
@FunctionalInterface
interface GatewaySender {
  /** Sends a message to the named gateway. */
  void send(String gateway, Envelope.Builder message);

  /**
   * Sends a message whose other fields are in a shared one; returns false if it cannot be sent now.
   *
   * @param onWritten called when the message was written; not if its connection ends before
   */
  default boolean send(
      String gateway, Envelope.Builder message, SharedMessage shared, Runnable onWritten) {
    send(gateway, message.mergeFrom(shared.message()));
    onWritten.run();
    return true;
  }
}
