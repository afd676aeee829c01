package org.curranthaven.internal.relay;

import io.netty.channel.EventLoop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Actions that wait until they are released or their time is up, whichever comes first; each runs
 * once and is forgotten then. Used on the event loop only.
 */
final class DeferredActions {
  private final EventLoop loop;
  private final Set<Runnable> held = new LinkedHashSet<>();

  DeferredActions(EventLoop loop) {
    this.loop = loop;
  }

  void hold(Runnable action, long mostMillis) {
    held.add(action);
    loop.schedule(() -> runIfHeld(action), mostMillis, TimeUnit.MILLISECONDS);
  }

  private void runIfHeld(Runnable action) {
    if (held.remove(action)) {
      action.run();
    }
  }

  /** Runs all that wait, in order. */
  void release() {
    List<Runnable> ready = List.copyOf(held);
    held.clear();
    ready.forEach(loop::execute);
  }

  int size() {
    return held.size();
  }
}
