package org.curranthaven.internal.relay;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Timers of one connection, which end with it: the event loop would otherwise keep each closed
 * connection in memory until its last timer expires. Confined to the event loop.
 */
final class ConnectionTimers {
  private final EventLoop loop;
  private final Set<Timer> pending = new HashSet<>();
  private boolean closed;

  ConnectionTimers(EventLoop loop) {
    this.loop = loop;
  }

  /** Runs an action after a delay unless the connection is closed by then. */
  void schedule(Runnable action, long delayMillis) {
    if (!closed) {
      Timer timer = new Timer(action);
      pending.add(timer);
      timer.future = loop.schedule(timer, delayMillis, TimeUnit.MILLISECONDS);
    }
  }

  /** Ends all timers, since the connection is closed. */
  void close() {
    closed = true;
    pending.forEach(Timer::cancel);
    pending.clear();
  }

  private final class Timer implements Runnable {
    private final Runnable action;
    private @Nullable ScheduledFuture<?> future;

    Timer(Runnable action) {
      this.action = action;
    }

    @Override
    public void run() {
      pending.remove(this);
      action.run();
    }

    void cancel() {
      if (future != null) {
        future.cancel(false);
      }
    }
  }
}
