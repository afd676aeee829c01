package org.curranthaven.internal.clients;

import io.netty.channel.EventLoop;
import java.util.LinkedHashSet;
import java.util.concurrent.TimeUnit;

/**
 * Lets connections whose bytes are costly to decode read one after the other, so that the event
 * loop serves all others between two of them. Confined to the event loop.
 */
public final class ReadTurns {
  private static final long INTERVAL_MILLIS = 1;

  private final EventLoop loop;
  private final LinkedHashSet<ClientChannel> waiting = new LinkedHashSet<>();
  private boolean scheduled;

  /** Creates turns on an event loop. */
  public ReadTurns(EventLoop loop) {
    this.loop = loop;
  }

  /** Has a connection wait for its turn. */
  void await(ClientChannel client) {
    client.pause(ClientChannel.Pause.TURN, true);
    waiting.add(client);
    scheduleNext();
  }

  private void scheduleNext() {
    if (!scheduled && !waiting.isEmpty()) {
      scheduled = true;
      loop.schedule(this::runNext, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void runNext() {
    scheduled = false;
    if (!waiting.isEmpty()) {
      waiting.removeFirst().pause(ClientChannel.Pause.TURN, false);
      scheduleNext();
    }
  }

  /** Forgets a connection that is closed. */
  void remove(ClientChannel client) {
    waiting.remove(client);
  }
}
