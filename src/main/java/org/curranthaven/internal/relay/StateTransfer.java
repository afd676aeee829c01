package org.curranthaven.internal.relay;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.tinylog.Logger;

/**
 * Transfers the state of a running request to another engine: copies it while the request runs,
 * then stops the request and copies what has been added. Confined to the event loop.
 */
final class StateTransfer {
  private static final int OK = 200;

  /**
   * Longest idle time of a connection that is reused for a copy. A longer idle connection may be
   * closed already, and the transfer would then fail.
   */
  private static final long MAX_CONNECTION_IDLE_MILLIS = 250;

  /** Timeout of one copy, after which the transfer fails. */
  private static final long COPY_TIMEOUT_MILLIS = 4_000;

  /**
   * Timeout of the stop request to an engine whose connection was lost while the request may still
   * run there.
   */
  private static final long STOP_TIMEOUT_MILLIS = 600;

  /** Time after the final copy during which the rest of the source's stream is awaited. */
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

  /** Receives the outcome of a state transfer. */
  interface Listener {
    /**
     * Handles a failed transfer. The request continues at the source, or has ended there if {@code
     * sourceEnded}.
     */
    void onTransferFailed(boolean sourceEnded);

    /**
     * Handles a successful transfer: the request can resume from the referenced state at the given
     * engine, which may be the source itself.
     */
    void onTransferred(BackendRecord target, String stateReference);
  }

  StateTransfer(
      RelayContext context,
      InboundRequest request,
      BackendRecord source,
      BackendRecord target,
      Listener listener) {
    this.context = context;
    this.request = request;
    this.source = source;
    this.target = target;
    this.listener = listener;
    this.destination = target;
  }

  void start() {
    startedAtMillis = context.clock().nowMillis();
    requestCopy(false, this::onFirstCopy);
  }

  /**
   * Starts a transfer whose source stream has ended already: has the source stop the request, which
   * may still run there, and copy its state. Fails if the source does not respond.
   */
  void startWithEndedSource() {
    copyTimeoutMillis = STOP_TIMEOUT_MILLIS;
    startedAtMillis = context.clock().nowMillis();
    sourceEnded = true;
    stopping = true;
    stopRequestedAtMillis = context.clock().nowMillis();
    requestCopy(true, this::onFinalCopy);
  }

  /** Handles the interruption of the source's stream before its final event. */
  void onSourceEnded() {
    sourceEnded = true;
    if (!stateReference.isEmpty()) {
      finishTransferred();
    } else if (!stopping) {
      finishFailed();
    }
  }

  private void onFirstCopy(TransferResponse response) {
    if (finished) {
      return;
    }
    if (response.status() != OK) {
      finishFailed();
      return;
    }
    stopping = true;
    stopRequestedAtMillis = context.clock().nowMillis();
    requestCopy(true, this::onFinalCopy);
  }

  private void onFinalCopy(TransferResponse response) {
    if (finished) {
      return;
    }
    if (response.handle().isEmpty()) {
      finishFailed();
      return;
    }
    stateReference = context.protocol().stateReference(source, response.handle());
    // With another status, the handle refers to the state that the source still holds.
    destination = response.status() == OK ? target : source;
    if (sourceEnded) {
      finishTransferred();
    } else {
      context
          .loop()
          .schedule(this::finishTransferred, SOURCE_END_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void finishTransferred() {
    if (!finished) {
      finished = true;
      Logger.info(
          "request {}: state transferred from backend server {} to {}, first copy {} ms,"
              + " stop and final copy {} ms",
          request.id(),
          source.getId(),
          destination.getId(),
          stopRequestedAtMillis - startedAtMillis,
          context.clock().nowMillis() - stopRequestedAtMillis);
      listener.onTransferred(destination, stateReference);
    }
  }

  private void finishFailed() {
    if (!finished) {
      finished = true;
      listener.onTransferFailed(sourceEnded);
    }
  }

  private void requestCopy(boolean finalCopy, Consumer<TransferResponse> consumer) {
    FullHttpRequest copyRequest =
        context.protocol().transferRequest(request, source, target, finalCopy);
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
              CopyResponseListener responseListener = new CopyResponseListener(consumer);
              connection.send(copyRequest, request.id(), responseListener);
              context
                  .loop()
                  .schedule(
                      () -> responseListener.onTimeout(connection),
                      copyTimeoutMillis,
                      TimeUnit.MILLISECONDS);
            });
  }

  /**
   * Collects the response to one copy request; reports status 0 after a connection loss or timeout.
   */
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
