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
  private static final long MAX_CONNECTION_IDLE_MILLIS = 250;

  /** Longest time for one copy; after it the move is given up. */
  private static final long COPY_TIMEOUT_MILLIS = 4_000;

  /** Longest time for an engine that broke off to answer whether the run still goes on. */
  private static final long STOP_TIMEOUT_MILLIS = 600;

  /** Time after the last copy for which the rest of the source's stream is awaited. */
  private static final long SOURCE_END_TIMEOUT_MILLIS = 400;

  private final RelayContext context;
  private final InboundRequest request;
  private final BackendRecord source;
  private final BackendRecord target;
  private final Listener listener;
  private long copyTimeoutMillis = COPY_TIMEOUT_MILLIS;
  private long startedAtMillis;
  private long stopRequestedAtMillis;
  private boolean sourceEnded;
  private boolean finished;
  private boolean stopping;
  private String stateReference = "";
  private BackendRecord destination;

  /** Is told how the handover ended. */
  interface Listener {
    /** The run stays where it is, or is over if {@code sourceEnded}. */
    void onTransferFailed(boolean sourceEnded);

    /** The run goes on from the named copy at another engine, or at the source itself. */
    void onTransferred(BackendRecord to, String copyName);
  }

  StateTransfer(
      RelayContext context,
      InboundRequest call,
      BackendRecord source,
      BackendRecord target,
      Listener owner) {
    this.context = context;
    this.request = call;
    this.source = source;
    this.target = target;
    this.listener = owner;
    this.destination = target;
  }

  void start() {
    startedAtMillis = context.clock().nowMillis();
    requestCopy(false, this::onFirstCopy);
  }

  /** Starts with a run whose stream has ended already: it is stopped for certain first. */
  void startWithEndedSource() {
    copyTimeoutMillis = STOP_TIMEOUT_MILLIS;
    startedAtMillis = context.clock().nowMillis();
    sourceEnded = true;
    stopping = true;
    stopRequestedAtMillis = context.clock().nowMillis();
    requestCopy(true, this::onFinalCopy);
  }

  /** Called when the source's stream has ended without its end. */
  void sourceEnded() {
    sourceEnded = true;
    if (!stateReference.isEmpty()) {
      finishMoved();
    } else if (!stopping) {
      finishNotMoved();
    }
  }

  private void onFirstCopy(TransferResponse answer) {
    if (finished) {
      return;
    }
    if (answer.status() != OK) {
      finishNotMoved();
      return;
    }
    stopping = true;
    stopRequestedAtMillis = context.clock().nowMillis();
    requestCopy(true, this::onFinalCopy);
  }

  private void onFinalCopy(TransferResponse answer) {
    if (finished) {
      return;
    }
    if (answer.handle().isEmpty()) {
      finishNotMoved();
      return;
    }
    stateReference = context.protocol().stateReference(source, answer.handle());
    destination = answer.status() == OK ? target : source;
    if (sourceEnded) {
      finishMoved();
    } else {
      context.loop().schedule(this::finishMoved, SOURCE_END_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void finishMoved() {
    if (!finished) {
      finished = true;
      Logger.info(
          "call {}: copied in {} ms, stopped and copied in {} ms",
          request.id(),
          stopRequestedAtMillis - startedAtMillis,
          context.clock().nowMillis() - stopRequestedAtMillis);
      listener.onTransferred(destination, stateReference);
    }
  }

  private void finishNotMoved() {
    if (!finished) {
      finished = true;
      listener.onTransferFailed(sourceEnded);
    }
  }

  private void requestCopy(boolean last, Consumer<TransferResponse> consumer) {
    FullHttpRequest copyRequest = context.protocol().transferRequest(request, source, target, last);
    context
        .pool()
        .acquire(
            source.getAddress(),
            MAX_CONNECTION_IDLE_MILLIS,
            connection -> {
              if (connection == null || !connection.isOpen()) {
                copyRequest.release();
                consumer.accept(new TransferResponse(0, ""));
                return;
              }
              CopyResponseListener answer = new CopyResponseListener(consumer);
              connection.send(copyRequest, request.id(), answer);
              context
                  .loop()
                  .schedule(
                      () -> answer.onTimeout(connection), copyTimeoutMillis, TimeUnit.MILLISECONDS);
            });
  }

  /** Collects the answer to one order. */
  private final class CopyResponseListener implements BackendConnection.ResponseListener {
    private final Consumer<TransferResponse> consumer;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private boolean completed;

    CopyResponseListener(Consumer<TransferResponse> consumer) {
      this.consumer = consumer;
    }

    @Override
    public void onHead(ResponseHead head, HttpResponse response) {
      status = head.status();
    }

    @Override
    public void onContent(byte[] bytes) {
      body.writeBytes(bytes);
    }

    @Override
    public void onComplete() {
      complete(context.protocol().readTransferResponse(status, body.toByteArray()));
    }

    @Override
    public void onInterrupted(String reason) {
      complete(new TransferResponse(0, ""));
    }

    void onTimeout(BackendConnection connection) {
      if (!completed) {
        connection.cancel();
        complete(new TransferResponse(0, ""));
      }
    }

    private void complete(TransferResponse result) {
      if (!completed) {
        completed = true;
        consumer.accept(result);
      }
    }
  }
}
