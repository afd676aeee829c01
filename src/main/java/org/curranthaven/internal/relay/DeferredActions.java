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
  private final Set<Runnable> pending = new LinkedHashSet<>();

  DeferredActions(EventLoop loop) {
    this.loop = loop;
  }

  void defer(Runnable action, long mostMillis) {
    pending.add(action);
    loop.schedule(() -> runIfPending(action), mostMillis, TimeUnit.MILLISECONDS);
  }

  private void runIfPending(Runnable action) {
    if (pending.remove(action)) {
      action.run();
    }
  }

  /** Runs all that wait, in order. */
  void runPending() {
    List<Runnable> ready = List.copyOf(pending);
    pending.clear();
    ready.forEach(loop::execute);
  }

  int size() {
    return pending.size();
  }
}
