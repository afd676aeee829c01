package org.curranthaven.internal.gateway;

import java.util.concurrent.Flow;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Lines of an engine's event stream, read with backpressure: at most {@link #MAX_BUFFERED_LINES}
 * lines are buffered, and more are read from the connection only as lines are consumed.
 */
final class EngineStream implements Flow.Subscriber<String> {
  private static final int MAX_BUFFERED_LINES = 32;
  private static final Item END = new Item.Closed("connection closed by the engine");

  private final LinkedBlockingQueue<Item> items = new LinkedBlockingQueue<>();
  private volatile Flow.@Nullable Subscription subscription;
  private volatile boolean closed;

  /** An item of the stream. */
  sealed interface Item {
    /** The engine sent a line of text. */
    record Line(String text) implements Item {}

    /** Nothing arrived within the timeout. */
    record Timeout() implements Item {}

    /** The engine responded with an error status. */
    record ErrorResponse(int status, String body) implements Item {}

    /** No connection could be established, so no byte was sent. */
    record ConnectFailed(String reason) implements Item {}

    /** The connection was closed or lost. */
    record Closed(String reason) implements Item {}
  }

  /** Waits for the next item, at most for the timeout. */
  Item next(long timeoutMillis) throws InterruptedException {
    Item item = items.poll(timeoutMillis, TimeUnit.MILLISECONDS);
    if (item == null) {
      return new Item.Timeout();
    }
    Flow.Subscription activeSubscription = subscription;
    if (item instanceof Item.Line && activeSubscription != null) {
      activeSubscription.request(1);
    }
    return item;
  }

  /** Adds a final item that reports how the request ended. */
  void end(Item item) {
    items.add(item);
  }

  /** Stops reading and closes the connection. */
  void close() {
    closed = true;
    Flow.Subscription activeSubscription = subscription;
    if (activeSubscription != null) {
      activeSubscription.cancel();
    }
  }

  @Override
  public void onSubscribe(Flow.Subscription newSubscription) {
    subscription = newSubscription;
    if (closed) {
      newSubscription.cancel();
    } else {
      newSubscription.request(MAX_BUFFERED_LINES);
    }
  }

  @Override
  public void onNext(String line) {
    if (!line.isEmpty()) {
      items.add(new Item.Line(line));
    } else {
      Flow.Subscription activeSubscription = subscription;
      if (activeSubscription != null) {
        activeSubscription.request(1);
      }
    }
  }

  @Override
  public void onError(Throwable failure) {
    items.add(new Item.Closed(String.valueOf(failure.getMessage())));
  }

  @Override
  public void onComplete() {
    items.add(END);
  }
}
