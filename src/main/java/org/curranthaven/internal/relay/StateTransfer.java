package org.curranthaven.internal.relay;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.tinylog.Logger;

/**
 * Moves the state of a running request to another engine: copies while the run goes on, then stops
 * it and copies what is new. Used on the event loop only.
 */
final class StateTransfer {
  private static final int OK = 200;
  private static final long MAX_IDLE_MILLIS = 250;

  /** Longest time for one copy; after it the move is given up. */
  private static final long COPY_TIMEOUT_MILLIS = 4_000;

  /** Longest time for an engine that broke off to answer whether the run still goes on. */
  private static final long STOP_TIMEOUT_MILLIS = 600;

  /** Time after the last copy for which the rest of the source's stream is awaited. */
  private static final long SOURCE_END_MILLIS = 400;

  private final RelayContext context;
  private final InboundRequest call;
  private final BackendRecord source;
  private final BackendRecord target;
  private final Owner owner;
  private long copyTimeoutMillis = COPY_TIMEOUT_MILLIS;
  private long startAtMillis;
  private long stopAtMillis;
  private boolean sourceEnded;
  private boolean over;
  private boolean stopping;
  private String copyName = "";
  private BackendRecord destination;

  /** Is told how the handover ended. */
  interface Owner {
    /** The run stays where it is, or is over if {@code sourceEnded}. */
    void notMoved(boolean sourceEnded);

    /** The run goes on from the named copy at another engine, or at the source itself. */
    void moved(BackendRecord to, String copyName);
  }

  StateTransfer(
      RelayContext context,
      InboundRequest call,
      BackendRecord source,
      BackendRecord target,
      Owner owner) {
    this.context = context;
    this.call = call;
    this.source = source;
    this.target = target;
    this.owner = owner;
    this.destination = target;
  }

  void start() {
    startAtMillis = context.clock().nowMillis();
    order(false, this::copiedWhileRunning);
  }

  /** Starts with a run whose stream has ended already: it is stopped for certain first. */
  void startStopped() {
    copyTimeoutMillis = STOP_TIMEOUT_MILLIS;
    startAtMillis = context.clock().nowMillis();
    sourceEnded = true;
    stopping = true;
    stopAtMillis = context.clock().nowMillis();
    order(true, this::copiedAndStopped);
  }

  /** Called when the source's stream has ended without its end. */
  void sourceEnded() {
    sourceEnded = true;
    if (!copyName.isEmpty()) {
      finishMoved();
    } else if (!stopping) {
      finishNotMoved();
    }
  }

  private void copiedWhileRunning(TransferResponse answer) {
    if (over) {
      return;
    }
    if (answer.status() != OK) {
      finishNotMoved();
      return;
    }
    stopping = true;
    stopAtMillis = context.clock().nowMillis();
    order(true, this::copiedAndStopped);
  }

  private void copiedAndStopped(TransferResponse answer) {
    if (over) {
      return;
    }
    if (answer.handle().isEmpty()) {
      finishNotMoved();
      return;
    }
    copyName = context.protocol().copyName(source, answer.handle());
    destination = answer.status() == OK ? target : source;
    if (sourceEnded) {
      finishMoved();
    } else {
      context.loop().schedule(this::finishMoved, SOURCE_END_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void finishMoved() {
    if (!over) {
      over = true;
      Logger.info(
          "call {}: copied in {} ms, stopped and copied in {} ms",
          call.id(),
          stopAtMillis - startAtMillis,
          context.clock().nowMillis() - stopAtMillis);
      owner.moved(destination, copyName);
    }
  }

  private void finishNotMoved() {
    if (!over) {
      over = true;
      owner.notMoved(sourceEnded);
    }
  }

  private void order(boolean last, Consumer<TransferResponse> consumer) {
    FullHttpRequest request = context.protocol().moveRequest(call, source, target, last);
    context
        .pool()
        .acquire(
            source.getAddress(),
            MAX_IDLE_MILLIS,
            connection -> {
              if (connection == null || !connection.isOpen()) {
                request.release();
                consumer.accept(new TransferResponse(0, ""));
                return;
              }
              OrderAnswer answer = new OrderAnswer(consumer);
              connection.send(request, call.id(), answer);
              context
                  .loop()
                  .schedule(
                      () -> answer.tooLate(connection), copyTimeoutMillis, TimeUnit.MILLISECONDS);
            });
  }

  /** Collects the answer to one order. */
  private final class OrderAnswer implements BackendConnection.AnswerListener {
    private final Consumer<TransferResponse> consumer;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private boolean answered;

    OrderAnswer(Consumer<TransferResponse> consumer) {
      this.consumer = consumer;
    }

    @Override
    public void head(ResponseHead head, HttpResponse response) {
      status = head.status();
    }

    @Override
    public void content(byte[] bytes) {
      body.writeBytes(bytes);
    }

    @Override
    public void whole() {
      answer(context.protocol().readMoveAnswer(status, body.toByteArray()));
    }

    @Override
    public void broken(String reason) {
      answer(new TransferResponse(0, ""));
    }

    void tooLate(BackendConnection connection) {
      if (!answered) {
        connection.cancel();
        answer(new TransferResponse(0, ""));
      }
    }

    private void answer(TransferResponse result) {
      if (!answered) {
        answered = true;
        consumer.accept(result);
      }
    }
  }
}
