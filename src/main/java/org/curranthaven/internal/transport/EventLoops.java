package org.curranthaven.internal.transport;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GenericFutureListener;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.Callable;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.curranthaven.internal.supervision.FatalErrors;

/**
 * Creates event loops that report errors to {@link FatalErrors}. Netty catches what tasks, timers
 * and listeners throw, and ends a loop that fails itself without a notice.
 *
 * <pre>{@code
 * EventLoopGroup group = EventLoops.newGroup();
 * channel.write(message).addListener(EventLoops.REPORT_ERROR);
 * }</pre>
 */
public final class EventLoops {
  /** Reports that a write failed with an error, of which its caller would hear nothing. */
  public static final ChannelFutureListener REPORT_ERROR =
      future -> FatalErrors.report(future.cause());

  private EventLoops() {}

  /** Creates a group of one event loop. */
  public static EventLoopGroup newGroup() {
    return new Group();
  }

  /** Returns a listener that reports the errors of the given one. */
  public static <F extends Future<?>> GenericFutureListener<F> guard(
      GenericFutureListener<F> listener) {
    return future -> {
      try {
        listener.operationComplete(future);
      } catch (Error e) {
        FatalErrors.report(e);
        throw e;
      }
    };
  }

  private static final class Group extends MultiThreadIoEventLoopGroup {
    Group() {
      super(1, NioIoHandler.newFactory());
    }

    @Override
    protected IoEventLoop newChild(
        Executor executor, IoHandlerFactory handlerFactory, Object... arguments) {
      return new Loop(this, executor, handlerFactory);
    }
  }

  private static final class Loop extends SingleThreadIoEventLoop {
    Loop(IoEventLoopGroup parent, Executor executor, IoHandlerFactory handlerFactory) {
      super(parent, executor, handlerFactory);
    }

    @Override
    @SuppressWarnings("CatchingUnchecked")
    protected void run() {
      try {
        super.run();
      } catch (RuntimeException | Error e) {
        FatalErrors.reportUncaught(e);
        throw e;
      }
    }

    @Override
    public void execute(Runnable task) {
      super.execute(FatalErrors.guard(task));
    }

    @Override
    public Future<?> submit(Runnable task) {
      return super.submit(FatalErrors.guard(task));
    }

    @Override
    public <T> Future<T> submit(Runnable task, T result) {
      return super.submit(FatalErrors.guard(task), result);
    }

    @Override
    public <T> Future<T> submit(Callable<T> task) {
      return super.submit(guard(task));
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
      return super.schedule(FatalErrors.guard(task), delay, unit);
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> task, long delay, TimeUnit unit) {
      return super.schedule(guard(task), delay, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(
        Runnable task, long initialDelay, long period, TimeUnit unit) {
      return super.scheduleAtFixedRate(FatalErrors.guard(task), initialDelay, period, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(
        Runnable task, long initialDelay, long delay, TimeUnit unit) {
      return super.scheduleWithFixedDelay(FatalErrors.guard(task), initialDelay, delay, unit);
    }

    private static <T> Callable<T> guard(Callable<T> task) {
      return () -> {
        try {
          return task.call();
        } catch (Error e) {
          FatalErrors.report(e);
          throw e;
        }
      };
    }
  }
}
