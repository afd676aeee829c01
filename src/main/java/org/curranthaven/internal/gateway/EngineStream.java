package org.curranthaven.internal.gateway;

import java.util.concurrent.Flow;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Lines of an engine's event stream, read with a bounded buffer: the connection is read on only as
 * lines are taken.
 */
final class EngineStream implements Flow.Subscriber<String> {
  private static final int MAX_BUFFERED_LINES = 32;
  private static final Item END = new Item.Closed("the connection ended");

  private final LinkedBlockingQueue<Item> items = new LinkedBlockingQueue<>();
  private volatile Flow.@Nullable Subscription subscription;
  private volatile boolean closed;

  /** What can come from the stream. */
  sealed interface Item {
    /** A line of text. */
    record Line(String text) implements Item {}

    /** Nothing came for the time waited. */
    record Timeout() implements Item {}

    /** The engine answered with an error status. */
    record ErrorResponse(int status, String body) implements Item {}

    /** The connection could not be made: no byte has left. */
    record ConnectFailed(String reason) implements Item {}

    /** The connection ended or broke. */
    record Closed(String reason) implements Item {}
  }

  /** Waits for the next item. */
  Item next(long timeoutMillis) throws InterruptedException {
    Item item = items.poll(timeoutMillis, TimeUnit.MILLISECONDS);
    if (item == null) {
      return new Item.Timeout();
    }
    Flow.Subscription current = subscription;
    if (item instanceof Item.Line && current != null) {
      current.request(1);
    }
    return item;
  }

  /** Ends the stream with an item that did not come from its lines. */
  void end(Item item) {
    items.add(item);
  }

  /** Stops reading and closes the connection. */
  void close() {
    closed = true;
    Flow.Subscription current = subscription;
    if (current != null) {
      current.cancel();
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
      Flow.Subscription current = subscription;
      if (current != null) {
        current.request(1);
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
