package org.curranthaven.internal.relay;

import java.util.function.Consumer;
import org.curranthaven.internal.supervision.LineLimit;
import org.tinylog.Logger;

/**
 * Counts the responses that are not accepted, and logs a bounded number of them. Confined to the
 * event loop.
 */
final class StrayResponseLog {
  /** Lines logged in one interval; one faulty backend server may send thousands of responses. */
  static final int MAX_LINES_PER_INTERVAL = 10;

  static final long INTERVAL_MILLIS = 1_000;

  private final Consumer<StrayResponse.Reason> counter;
  private final Consumer<String> lines;
  private final LineLimit limit = new LineLimit(MAX_LINES_PER_INTERVAL, INTERVAL_MILLIS);

  StrayResponseLog(Consumer<StrayResponse.Reason> counter) {
    this(counter, Logger::info);
  }

  StrayResponseLog(Consumer<StrayResponse.Reason> counter, Consumer<String> lines) {
    this.counter = counter;
    this.lines = lines;
  }

  void record(StrayResponse response, long nowMillis) {
    counter.accept(response.reason());
    if (!limit.mayWrite(nowMillis)) {
      return;
    }
    lines.accept(
        "response of backend server at "
            + response.address()
            + " not accepted: "
            + response.reason()
            + ", status "
            + response.status()
            + ", id \""
            + response.responseId()
            + "\", "
            + (response.ageMillis() < 0
                ? "no response with this id before"
                : response.ageMillis() + " ms after the response with this id")
            + "; the connection carries request \""
            + response.requestId()
            + "\"; "
            + limit.takeOmitted()
            + " lines suppressed since the last");
  }
}
