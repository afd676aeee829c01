package org.curranthaven.internal.scheduler;

import com.google.protobuf.ByteString;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.SharedMessage;
import org.curranthaven.internal.transport.wire.Envelope;
import org.curranthaven.internal.transport.wire.SchedulerView;

/**
 * Sends the active catalog to the gateways that lack it, with other messages that they get. Its
 * document is held once, however many gateways it is on its way to. Confined to the event loop.
 */
final class CatalogDelivery {
  private final GatewaySender sender;
  private long revision;
  private SharedMessage document = new SharedMessage(Envelope.getDefaultInstance());

  CatalogDelivery(GatewaySender sender) {
    this.sender = sender;
  }

  /** Delivers another catalog from now on. */
  void replace(long newRevision, ByteString newDocument) {
    revision = newRevision;
    document =
        new SharedMessage(
            Envelope.newBuilder()
                .setSchedulerView(SchedulerView.newBuilder().setCatalog(newDocument))
                .build());
  }

  /**
   * Sends a scheduler's view with the catalog; returns false, and sends nothing, if the gateway has
   * the catalog, it is on its way, or it cannot be sent now.
   */
  boolean send(String gateway, GatewayView view, Envelope.Builder message, Clock clock) {
    if (!view.needsCatalog(revision, clock.nowMillis())) {
      return false;
    }
    long sentRevision = revision;
    Runnable onWritten = () -> view.recordCatalogWritten(sentRevision, clock.nowMillis());
    boolean sent = sender.send(gateway, message, document, onWritten);
    if (sent) {
      view.recordCatalogSent(sentRevision, clock.nowMillis());
    }
    return sent;
  }
}
