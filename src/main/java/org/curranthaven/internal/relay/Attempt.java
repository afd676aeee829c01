package org.curranthaven.internal.relay;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import java.util.List;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.jspecify.annotations.Nullable;

/**
 * One sending of a call to one backend server. Events of a stream are passed on as they become
 * whole; any other answer is passed on once it is. Used on the event loop only.
 */
final class Attempt implements BackendConnection.ResponseListener {
  private static final int MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

  private final BackendRecord backend;
  private final Listener listener;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final EventSplitter splitter = new EventSplitter();
  private @Nullable BackendConnection connection;
  private @Nullable ResponseHead head;
  private @Nullable HttpResponse response;
  private boolean streaming;
  private boolean cancelled;
  private boolean sent;
  private boolean ended;
  private boolean responseReceived;

  /** Is told how the attempt goes. */
  interface Listener {
    /** Events of a stream became whole. */
    void onEvents(Attempt attempt, HttpResponse response, List<EventSplitter.Event> events);

    /** The attempt has ended. */
    void onEnded(Attempt attempt, AttemptResult result);
  }

  Attempt(BackendRecord backend, Listener owner) {
    this.backend = backend;
    this.listener = owner;
  }

  BackendRecord backend() {
    return backend;
  }

  /** Returns whether the backend server got the request, or a part of it. */
  boolean wasSent() {
    return sent;
  }

  void start(BackendPool pool, FullHttpRequest request, String requestId, long maxIdleMillis) {
    pool.acquire(
        backend.getAddress(),
        maxIdleMillis,
        acquired -> {
          if (cancelled) {
            request.release();
            if (acquired != null) {
              acquired.close();
            }
          } else if (acquired == null || !acquired.isOpen()) {
            request.release();
            end(new AttemptResult.Unreachable("no connection to " + backend.getAddress()));
          } else {
            connection = acquired;
            sent = true;
            acquired.send(request, requestId, this);
          }
        });
  }

  /** Returns whether any part of an answer has come. */
  boolean hasReceivedResponse() {
    return responseReceived;
  }

  /** Gives the attempt up because the backend server is silent. */
  void abandonUnresponsive() {
    abandon("the backend server is silent");
  }

  /** Ends the attempt; the backend server is told to stop by the end of its connection. */
  void cancel() {
    cancelled = true;
    ended = true;
    if (connection != null) {
      connection.cancel();
    }
  }

  void setReading(boolean reading) {
    if (connection != null && !ended) {
      connection.setReading(reading);
    }
  }

  private void end(AttemptResult result) {
    if (!ended) {
      ended = true;
      if (connection != null) {
        connection.setReading(true);
      }
      listener.onEnded(this, result);
    }
  }

  @Override
  public void onHead(ResponseHead answerHead, HttpResponse answer) {
    head = answerHead;
    response = answer;
    responseReceived = true;
    boolean unproven = !answerHead.sealed() || answerHead.requestId().isEmpty();
    if (answerHead.isSuccess() && unproven) {
      abandon("a success that the backend server does not vouch for");
      return;
    }
    streaming = answerHead.isSuccess() && answerHead.eventStream();
  }

  @Override
  public void onContent(byte[] bytes) {
    HttpResponse answer = response;
    if (ended || answer == null) {
      return;
    }
    if (streaming) {
      List<EventSplitter.Event> events = splitter.add(bytes);
      if (!events.isEmpty()) {
        listener.onEvents(this, answer, events);
      }
    } else if (body.size() + bytes.length > MAX_BUFFERED_BYTES) {
      abandon("the answer is too large");
    } else {
      body.writeBytes(bytes);
    }
  }

  private void abandon(String reason) {
    if (connection != null) {
      connection.cancel();
    }
    end(new AttemptResult.Interrupted(reason));
  }

  @Override
  public void onComplete() {
    ResponseHead answer = head;
    HttpResponse whole = response;
    if (answer == null || whole == null) {
      end(new AttemptResult.Interrupted("an answer without a status"));
    } else if (answer.notRun() || answer.misdirected()) {
      end(new AttemptResult.NotRun(answer));
    } else if (impliesNotRun(answer.status())) {
      end(new AttemptResult.Interrupted("status " + answer.status() + " without the proof of it"));
    } else {
      end(
          new AttemptResult.Completed(
              answer, whole, streaming ? splitter.remainder() : body.toByteArray()));
    }
  }

  /** Returns whether callers would read the status as a promise that the request did not run. */
  private static boolean impliesNotRun(int status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
  }

  @Override
  public void onInterrupted(String reason) {
    end(new AttemptResult.Interrupted(reason));
  }
}
