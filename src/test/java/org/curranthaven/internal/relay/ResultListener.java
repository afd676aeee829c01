package org.curranthaven.internal.relay;

import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.function.Consumer;

/** Passes on the result of an attempt, and ignores what comes before it. */
record ResultListener(Consumer<AttemptResult> onResult) implements Attempt.Listener {
  @Override
  public void onHead(Attempt attempt, ResponseHead head) {}

  @Override
  public void onEvents(Attempt attempt, HttpResponse response, List<EventSplitter.Event> events) {}

  @Override
  public void onEnded(Attempt attempt, AttemptResult result) {
    onResult.accept(result);
  }
}
