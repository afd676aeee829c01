package org.curranthaven.internal.relay;

import io.netty.channel.EventLoop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Actions deferred until they are released or their delay has expired, whichever comes first. Each
 * runs once and is then discarded. Confined to the event loop.
 */
final class DeferredActions {
  private final EventLoop loop;
  private final Set<Runnable> pending = new LinkedHashSet<>();

  DeferredActions(EventLoop loop) {
    this.loop = loop;
  }

  void defer(Runnable action, long maxDelayMillis) {
    pending.add(action);
    loop.schedule(() -> runIfPending(action), maxDelayMillis, TimeUnit.MILLISECONDS);
  }

  private void runIfPending(Runnable action) {
    if (pending.remove(action)) {
      action.run();
    }
  }

  /** Runs all pending actions on the event loop, in the order in which they were deferred. */
  void runPending() {
    List<Runnable> released = List.copyOf(pending);
    pending.clear();
    released.forEach(loop::execute);
  }

  int size() {
    return pending.size();
  }
}
