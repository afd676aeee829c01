package org.curranthaven.internal.relay;

import io.netty.handler.codec.http.HttpResponse;

/**
 * A response of a backend server that is complete. Only the methods below create one, and a caller
 * gets a response that is framed as complete only from one.
 *
 * <pre>{@code
 * switch (CompleteResponse.ofBody(head, response, body, ending)) {
 *   case AttemptResult.Completed completed -> caller.respond(completed.response());
 *   ...
 * }
 * }</pre>
 */
final class CompleteResponse {
  private final ResponseHead head;
  private final HttpResponse response;
  private final byte[] body;
  private final ResponseEnding ending;
  private final boolean stream;

  private CompleteResponse(
      ResponseHead head,
      HttpResponse response,
      byte[] body,
      ResponseEnding ending,
      boolean stream) {
    this.head = head;
    this.response = response;
    this.body = body;
    this.ending = ending;
    this.stream = stream;
  }

  /** Returns the result of an attempt whose response is forwarded as a whole. */
  static AttemptResult ofBody(
      ResponseHead head, HttpResponse response, byte[] body, ResponseEnding ending) {
    return switch (ending) {
      case ResponseEnding.BrokenOff brokenOff -> interrupted(brokenOff);
      case ResponseEnding.LengthReached ignored -> completed(head, response, body, ending, false);
      case ResponseEnding.LastChunk ignored -> completed(head, response, body, ending, false);
      // A body has no end of its own, so an orderly close is the only mark of its end.
      case ResponseEnding.ConnectionClosed ignored ->
          completed(head, response, body, ending, false);
    };
  }

  /**
   * Returns the result of an attempt whose events were forwarded as they arrived. A stream is
   * broken off if it ends inside an event, however it ended, or if it ends with its connection
   * before its first event.
   *
   * @param events content after the last complete event, and the number of events before it
   */
  static AttemptResult ofStream(
      ResponseHead head, HttpResponse response, EventSplitter events, ResponseEnding ending) {
    if (ending instanceof ResponseEnding.BrokenOff brokenOff) {
      return interrupted(brokenOff);
    }
    boolean endedWithConnection = ending instanceof ResponseEnding.ConnectionClosed;
    if (events.hasUnfinishedEvent()) {
      return new AttemptResult.Interrupted(
          "the stream ended inside an event, after " + events.eventCount() + " complete events",
          endedWithConnection);
    }
    if (endedWithConnection && events.eventCount() == 0) {
      return new AttemptResult.Interrupted(
          "the connection was closed before the first event", true);
    }
    return completed(head, response, events.remainder(), ending, true);
  }

  /** Returns the result of an attempt whose response ended before its status and headers. */
  static AttemptResult withoutHead(ResponseEnding ending) {
    return ending instanceof ResponseEnding.BrokenOff brokenOff
        ? interrupted(brokenOff)
        : new AttemptResult.Interrupted("the response has no status");
  }

  private static AttemptResult interrupted(ResponseEnding.BrokenOff brokenOff) {
    return new AttemptResult.Interrupted(brokenOff.reason(), brokenOff.connectionLost());
  }

  private static AttemptResult completed(
      ResponseHead head,
      HttpResponse response,
      byte[] body,
      ResponseEnding ending,
      boolean stream) {
    return new AttemptResult.Completed(new CompleteResponse(head, response, body, ending, stream));
  }

  ResponseHead head() {
    return head;
  }

  HttpResponse response() {
    return response;
  }

  /** Returns whether the response is an event stream, whose events were forwarded before. */
  boolean isStream() {
    return stream;
  }

  /** Returns the body; of a stream, only the blank lines and comments after its last event. */
  byte[] body() {
    return body;
  }

  /**
   * Returns whether only the end of the connection marks the end of the response. An engine that is
   * told to stop a request ends its stream in the same way.
   */
  boolean endedWithConnection() {
    return ending instanceof ResponseEnding.ConnectionClosed;
  }
}
