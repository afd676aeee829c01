package org.curranthaven.internal.relay;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.tinylog.Logger;

/**
 * Transfers the state of a running request to another engine: copies it while the request runs,
 * then stops the request and copies what has been added. Confined to the event loop.
 */
final class StateTransfer {
  /** Limit on the body of a response, which holds a handle and a few numbers. */
  private static final int MAX_RESPONSE_BYTES = 64 * 1024;

  /** Timeout of one copy, after which the transfer fails. */
  private static final long COPY_TIMEOUT_MILLIS = 4_000;

  /** Timeout of one stop request to an engine on which the stream was interrupted. */
  private static final long STOP_TIMEOUT_MILLIS = 600;

  private static final long STOP_RETRY_DELAY_MILLIS = 50;

  /** Time after the final copy during which the rest of the source's stream is awaited. */
  private static final long SOURCE_END_TIMEOUT_MILLIS = 400;

  private final RelayContext context;
  private final InboundRequest request;
  private final BackendRecord source;
  private final BackendRecord target;
  private final Listener listener;
  private final StopConfirmation confirmation = new StopConfirmation();
  private BooleanSupplier sourceActive = () -> false;
  private long copyTimeoutMillis = COPY_TIMEOUT_MILLIS;
  private long startedAtMillis;
  private long stopRequestedAtMillis;
  private boolean sourceEnded;
  private boolean finished;
  private boolean stopping;
  private String stateReference = "";
  private BackendRecord destination;

  /** What is known about the request at the source after a failed transfer. */
  enum SourceState {
    /** The request continues at the source. */
    RUNNING,
    /** The source was told to stop the request and did not confirm it; its stream is still open. */
    STOP_UNANSWERED,
    /** The source stated that it does not run the request, which nothing has stopped before. */
    NOT_RUNNING,
    /** The source does not run the request any more, and may have stopped it before its end. */
    STOPPED,
    /** No process runs at the source, or no network path leads there. */
    GONE,
    /** The stream was interrupted, and the source has not confirmed that the request stopped. */
    STOP_UNCONFIRMED
  }

  /** Receives the outcome of a state transfer. */
  interface Listener {
    /** Handles a failed transfer. */
    void onTransferFailed(SourceState sourceState);

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
   * may still run there, and copy its state. Asks again while the source can be reached and has not
   * confirmed the stop.
   */
  void startWithEndedSource() {
    sourceEnded = true;
    requestStop();
  }

  /**
   * Starts a transfer whose source has stalled: has it stop the request once, while its stream
   * stays open, and copy its state.
   *
   * @param active whether the source has sent anything since this call
   */
  void startAtStalledSource(BooleanSupplier active) {
    sourceActive = active;
    requestStop();
  }

  /** Has the source stop the request at once and copy its state, over a new connection. */
  private void requestStop() {
    copyTimeoutMillis = STOP_TIMEOUT_MILLIS;
    startedAtMillis = context.clock().nowMillis();
    stopping = true;
    stopRequestedAtMillis = startedAtMillis;
    requestCopy(true, this::onStopResponse);
  }

  private void onStopResponse(TransferResponse response) {
    if (finished) {
      return;
    }
    if (!response.handle().isEmpty()) {
      onFinalCopy(response);
      return;
    }
    long elapsedMillis = context.clock().nowMillis() - startedAtMillis;
    switch (confirmation.decide(response.outcome(), streamConnection(), elapsedMillis)) {
      case NOT_RUNNING -> finishFailed(SourceState.NOT_RUNNING);
      case STOPPED -> finishFailed(SourceState.STOPPED);
      case GONE -> finishFailed(SourceState.GONE);
      case RUNNING -> finishFailed(SourceState.RUNNING);
      case UNCONFIRMED -> finishFailed(sourceStateAfterFailure(response));
      case ASK_AGAIN ->
          context
              .loop()
              .schedule(
                  () -> requestCopy(true, this::onStopResponse),
                  STOP_RETRY_DELAY_MILLIS,
                  TimeUnit.MILLISECONDS);
    }
  }

  private StopConfirmation.StreamConnection streamConnection() {
    if (sourceEnded) {
      return StopConfirmation.StreamConnection.ENDED;
    }
    return sourceActive.getAsBoolean()
        ? StopConfirmation.StreamConnection.ACTIVE
        : StopConfirmation.StreamConnection.SILENT;
  }

  /**
   * Returns whether the source was told to stop the request. From then on, the orderly close of its
   * stream may be the stop instead of the end of the response.
   */
  boolean isStopping() {
    return stopping;
  }

  /** Handles the end of the source's stream before the end of the response was marked. */
  void onSourceEnded() {
    sourceEnded = true;
    if (!stateReference.isEmpty()) {
      finishTransferred();
    } else if (!stopping) {
      finishFailed(SourceState.STOP_UNCONFIRMED);
    }
  }

  private void onFirstCopy(TransferResponse response) {
    if (finished) {
      return;
    }
    if (response.outcome() != TransferResponse.Outcome.COPIED) {
      finishFailed(sourceStateAfterFailure(response));
      return;
    }
    if (context.placer().isEvacuated(target)) {
      // Ordered since the transfer began; the request continues where it is.
      finishFailed(SourceState.RUNNING);
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
      finishFailed(sourceStateAfterFailure(response));
      return;
    }
    stateReference = context.protocol().stateReference(source, response.handle());
    // Unless the copy is complete, the handle refers to the state that the source still holds.
    destination = response.outcome() == TransferResponse.Outcome.COPIED ? target : source;
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

  private SourceState sourceStateAfterFailure(TransferResponse response) {
    if (sourceEnded) {
      return response.outcome() == TransferResponse.Outcome.NOT_RUNNING
          ? SourceState.NOT_RUNNING
          : SourceState.STOP_UNCONFIRMED;
    }
    return stopping && mayHaveStopped(response.outcome())
        ? SourceState.STOP_UNANSWERED
        : SourceState.RUNNING;
  }

  /**
   * Returns whether the source may have stopped the request because it was told to. A rejection
   * without a handle may have lost it, or belong to a call that an earlier one is ahead of.
   */
  private static boolean mayHaveStopped(TransferResponse.Outcome outcome) {
    return switch (outcome) {
      case COPIED, REJECTED, NO_RESPONSE -> true;
      case NOT_RUNNING, REFUSED, NO_CONNECTION, NOT_SENT -> false;
    };
  }

  private void finishFailed(SourceState sourceState) {
    if (!finished) {
      finished = true;
      listener.onTransferFailed(sourceState);
    }
  }

  private void requestCopy(boolean finalCopy, Consumer<TransferResponse> consumer) {
    FullHttpRequest copyRequest =
        context.protocol().transferRequest(request, source, target, finalCopy);
    context
        .pool()
        .open(
            source.getAddress(),
            (connection, failure) -> {
              if (connection == null || !connection.isOpen()) {
                copyRequest.release();
                consumer.accept(
                    TransferResponse.withoutHandle(
                        failure == null
                            ? TransferResponse.Outcome.NO_RESPONSE
                            : outcomeWithoutConnection(failure)));
                return;
              }
              CopyResponseListener responseListener =
                  new CopyResponseListener(connection, consumer);
              connection.sendControl(copyRequest, request.id(), responseListener);
              context
                  .loop()
                  .schedule(responseListener::abandon, copyTimeoutMillis, TimeUnit.MILLISECONDS);
            });
  }

  private static TransferResponse.Outcome outcomeWithoutConnection(ConnectFailure failure) {
    return switch (failure) {
      case REFUSED -> TransferResponse.Outcome.REFUSED;
      case UNREACHABLE -> TransferResponse.Outcome.NO_CONNECTION;
      case LOCAL -> TransferResponse.Outcome.NOT_SENT;
    };
  }

  /**
   * Collects the response to one copy request; reports that there was none after a connection loss
   * or timeout.
   */
  private final class CopyResponseListener implements BackendConnection.ResponseListener {
    private final BackendConnection connection;
    private final Consumer<TransferResponse> consumer;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private boolean completed;

    CopyResponseListener(BackendConnection connection, Consumer<TransferResponse> consumer) {
      this.connection = connection;
      this.consumer = consumer;
    }

    @Override
    public void onHead(ResponseHead head, HttpResponse response) {
      status = head.status();
    }

    @Override
    public void onContent(byte[] bytes) {
      if (body.size() + bytes.length <= MAX_RESPONSE_BYTES) {
        body.writeBytes(bytes);
      } else {
        abandon();
      }
    }

    @Override
    public void onEnded(ResponseEnding ending) {
      complete(
          ending instanceof ResponseEnding.BrokenOff
              ? TransferResponse.withoutHandle(TransferResponse.Outcome.NO_RESPONSE)
              : context.protocol().readTransferResponse(status, body.toByteArray()));
    }

    /** Gives up on a response that does not arrive in time or is larger than any can be. */
    void abandon() {
      if (!completed) {
        connection.cancel();
        complete(TransferResponse.withoutHandle(TransferResponse.Outcome.NO_RESPONSE));
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
