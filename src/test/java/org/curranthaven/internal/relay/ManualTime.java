package org.curranthaven.internal.relay;

import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.curranthaven.internal.supervision.Clock;

/** An event loop and a clock whose time only {@link #advance} moves on. */
public final class ManualTime implements Clock {
  private static final long STEP_MILLIS = 10;

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private long nowMillis = 1_000;

  /** Creates the event loop and freezes its time. */
  public ManualTime() {
    channel.freezeTime();
  }

  /** Returns the event loop. */
  public EventLoop loop() {
    return channel.eventLoop();
  }

  /** Advances the time in small steps, and runs the tasks that become due. */
  public void advance(long millis) {
    for (long advancedMillis = 0; advancedMillis < millis; advancedMillis += STEP_MILLIS) {
      nowMillis += STEP_MILLIS;
      channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
      channel.runScheduledPendingTasks();
      channel.runPendingTasks();
    }
  }

  /** Runs what is due, and returns whether a timer is left. */
  boolean hasTimers() {
    return channel.runScheduledPendingTasks() >= 0;
  }

  /** Moves the clock on without running any task, as while a process is suspended. */
  public void suspend(long millis) {
    nowMillis += millis;
  }

  @Override
  public long nowMillis() {
    return nowMillis;
  }

  @Override
  public long epochMillis() {
    return nowMillis;
  }
}
