package org.curranthaven.internal.relay;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * One transmission of a request to one backend server. Reports each event of a stream as soon as it
 * is complete, and any other response once it is complete. Confined to the event loop.
 */
final class Attempt implements BackendConnection.ResponseListener, ResponseBuffers.Holder {
  private static final int MAX_BUFFERED_BODY_BYTES = 8 * 1024 * 1024;

  /** Limit on an incomplete event; many times the size of an event with some tokens. */
  static final int MAX_EVENT_BYTES = 256 * 1024;

  private final BackendRecord backend;
  private final Listener listener;
  private final ResponseMemory memory;
  private final EventSplitter splitter = new EventSplitter();
  private @Nullable BackendConnection connection;
  private @Nullable ResponseHead head;
  private @Nullable HttpResponse response;
  private @Nullable IncomingBody body;
  private boolean streaming;
  private boolean cancelled;
  private boolean sent;
  private boolean ended;
  private Runnable endAction = () -> {};
  private boolean responseReceived;
  private long receivedParts;
  private String requestId = "";
  private long startedAtMillis;

  /** Receives the events and the result of an attempt. */
  interface Listener {
    /** Handles the status and headers of the response. */
    void onHead(Attempt attempt, ResponseHead head);

    /** Handles complete events of a stream. */
    void onEvents(Attempt attempt, HttpResponse response, List<EventSplitter.Event> events);

    /** Handles the end of the attempt. */
    void onEnded(Attempt attempt, AttemptResult result);
  }

  Attempt(BackendRecord backend, ResponseMemory memory, Listener listener) {
    this.backend = backend;
    this.memory = memory;
    this.listener = listener;
  }

  BackendRecord backend() {
    return backend;
  }

  /** Returns whether the request, or a part of it, may have reached the backend server. */
  boolean wasSent() {
    return sent;
  }

  /**
   * Sends the request over an idle or new connection.
   *
   * @param mayBeSent whether the backend server may still receive the request; asked when there is
   *     a connection, which may take some time to open
   */
  void start(
      BackendPool pool,
      FullHttpRequest request,
      String newRequestId,
      long maxIdleMillis,
      BooleanSupplier mayBeSent) {
    requestId = newRequestId;
    startedAtMillis = pool.nowMillis();
    pool.acquire(
        backend.getAddress(),
        requestId,
        maxIdleMillis,
        acquired -> {
          if (cancelled) {
            request.release();
            if (acquired != null) {
              acquired.close();
            }
          } else if (acquired == null || !acquired.isOpen()) {
            request.release();
            end(
                new AttemptResult.Unreachable(
                    "no connection to backend server "
                        + backend.getId()
                        + " at "
                        + backend.getAddress()));
          } else if (!mayBeSent.getAsBoolean()) {
            request.release();
            acquired.close();
            end(
                new AttemptResult.Unreachable(
                    "the data centre of backend server " + backend.getId() + " is evacuated",
                    false));
          } else {
            connection = acquired;
            sent = true;
            acquired.send(request, requestId, this);
          }
        });
  }

  /** Returns when the attempt was started; its request was sent then or later. */
  long startedAtMillis() {
    return startedAtMillis;
  }

  /** Returns whether any part of a response has been received. */
  boolean hasReceivedResponse() {
    return responseReceived;
  }

  /** Returns how many parts of the response have been received, with or without output. */
  long receivedParts() {
    return receivedParts;
  }

  /**
   * Ends the attempt as interrupted because the backend server has sent nothing for the given time.
   */
  void abandonUnresponsive(long unresponsiveMillis) {
    abandon(
        "no response from backend server "
            + backend.getId()
            + " within "
            + unresponsiveMillis
            + " ms");
  }

  /**
   * Ends the attempt without a result. Closing the connection signals the backend server to stop.
   */
  void cancel() {
    cancelled = true;
    markEnded();
    releaseBody();
    if (connection != null) {
      connection.cancel();
    }
  }

  /** Sets what runs once the attempt has ended; replaces what was set before. */
  void whenEnded(Runnable action) {
    endAction = action;
  }

  private void markEnded() {
    ended = true;
    endAction.run();
  }

  /** Returns whether nothing more is received, since the attempt has a result or was cancelled. */
  boolean hasEnded() {
    return ended;
  }

  void setReading(boolean reading) {
    if (connection != null && !ended) {
      connection.setReading(reading && !isWaitingForMemory());
    }
  }

  private boolean isWaitingForMemory() {
    return body != null && body.isWaiting();
  }

  /** Gives back the memory of a response that is not delivered. */
  private void releaseBody() {
    memory.update(this, 0);
    if (body != null && body.reservation() != null) {
      memory.release(body.reservation());
    }
    body = null;
  }

  private void end(AttemptResult result) {
    if (!ended) {
      markEnded();
      if (result instanceof AttemptResult.Completed) {
        memory.update(this, 0);
      } else {
        releaseBody();
      }
      if (connection != null) {
        connection.setReading(true);
      }
      listener.onEnded(this, result);
    }
  }

  @Override
  public void onHead(ResponseHead responseHead, HttpResponse newResponse) {
    head = responseHead;
    response = newResponse;
    responseReceived = true;
    listener.onHead(this, responseHead);
    boolean unproven = !responseHead.sealed() || responseHead.requestId().isEmpty();
    if (responseHead.isSuccess() && unproven) {
      abandon(
          "status "
              + responseHead.status()
              + " from backend server "
              + backend.getId()
              + " without the headers that prove a successful response");
      return;
    }
    streaming = responseHead.isSuccess() && responseHead.eventStream();
    body = new IncomingBody(newResponse, MAX_BUFFERED_BODY_BYTES);
  }

  @Override
  public void onContent(byte[] bytes) {
    receivedParts++;
    HttpResponse streamResponse = response;
    if (ended || streamResponse == null) {
      return;
    }
    if (streaming) {
      addToStream(streamResponse, bytes);
    } else if (body != null) {
      addToBody(body, bytes);
    }
  }

  private void addToBody(IncomingBody received, byte[] bytes) {
    if (received.isTooLarge(bytes.length)) {
      abandon("the response exceeds the limit of " + MAX_BUFFERED_BODY_BYTES + " bytes");
      return;
    }
    if (received.needsMemory(bytes.length)) {
      if (!memory.canEverHold(received.finalBytes())) {
        abandon(
            "the response of up to "
                + received.finalBytes()
                + " bytes exceeds the memory of this host for bodies");
        return;
      }
      received.setReservation(memory.reserve(received.finalBytes(), this::continueReading));
    }
    received.add(Unpooled.wrappedBuffer(bytes));
    boolean waits = received.isWaiting();
    if (waits && connection != null) {
      connection.setReading(false);
    }
    memory.update(this, received.reservation() == null || waits ? received.size() : 0);
  }

  /** Reads on when there is memory for the rest of the response. */
  private void continueReading() {
    if (!ended && connection != null) {
      connection.setReading(true);
    }
  }

  private void addToStream(HttpResponse streamResponse, byte[] bytes) {
    List<EventSplitter.Event> events = splitter.add(bytes);
    if (!events.isEmpty()) {
      listener.onEvents(this, streamResponse, events);
    }
    if (ended) {
      return;
    }
    if (splitter.remainderBytes() > MAX_EVENT_BYTES) {
      abandon("an event of the stream exceeds the limit of " + MAX_EVENT_BYTES + " bytes");
    } else {
      memory.update(this, splitter.remainderBytes());
    }
  }

  @Override
  public void discardBuffered(int bytes) {
    abandon(
        "its incomplete response of "
            + bytes
            + " bytes was the largest when all together exceeded "
            + ResponseBuffers.MAX_TOTAL_BYTES
            + " bytes");
  }

  private void abandon(String reason) {
    if (connection != null) {
      connection.cancel();
    }
    end(new AttemptResult.Interrupted(reason));
  }

  @Override
  public void onEnded(ResponseEnding ending) {
    ResponseHead receivedHead = head;
    HttpResponse receivedResponse = response;
    if (receivedHead == null || receivedResponse == null) {
      end(CompleteResponse.withoutHead(ending));
      return;
    }
    if (streaming) {
      logUnmarkedEnd(ending);
      end(CompleteResponse.ofStream(receivedHead, receivedResponse, splitter, ending));
      return;
    }
    AttemptResult result =
        CompleteResponse.ofBody(receivedHead, receivedResponse, completeBody(), ending);
    end(result instanceof AttemptResult.Completed ? byStatus(receivedHead, result) : result);
  }

  /** Returns the body, and gives back the memory that was reserved beyond its size. */
  private byte[] completeBody() {
    IncomingBody received = body;
    if (received == null) {
      return new byte[0];
    }
    boolean waited = received.isWaiting();
    byte[] bytes = received.complete();
    BodyMemory.Reservation reservation = received.reservation();
    if (reservation != null && waited) {
      memory.release(reservation);
    } else if (reservation != null) {
      memory.shrink(reservation, bytes.length);
    }
    return bytes;
  }

  /** Logs the end of a stream whose framing does not mark the end. */
  private void logUnmarkedEnd(ResponseEnding ending) {
    if (ending instanceof ResponseEnding.ConnectionClosed) {
      Logger.info(
          "request {}: stream of backend server {} ended with its connection, after {} events and"
              + " {} bytes more",
          requestId,
          backend.getId(),
          splitter.eventCount(),
          splitter.remainder().length);
    }
  }

  /** Returns the result of an attempt with a complete response that is not a stream. */
  private static AttemptResult byStatus(ResponseHead head, AttemptResult completed) {
    if (head.notRun() || head.misdirected()) {
      return new AttemptResult.NotRun(head);
    }
    return NotRunStatus.isPromise(head.status())
        ? new AttemptResult.Interrupted(
            "status "
                + head.status()
                + " without the header that proves that the request did not run")
        : completed;
  }
}
