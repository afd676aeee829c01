package org.curranthaven.internal.relay;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import org.curranthaven.api.Outcome;
import org.curranthaven.internal.catalog.CatalogCodec;
import org.curranthaven.internal.dispatch.DispatchFeatures;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.jspecify.annotations.Nullable;

/**
 * Translates between the HTTP messages of one platform and the types of this system; makes no
 * decisions. Implementations are loaded by {@link java.util.ServiceLoader} and selected by name.
 */
public interface WireProtocol {
  /** Returns the name by which the settings select the protocol. */
  String name();

  /**
   * Returns the functions of the dispatch core that a deployment asks for.
   *
   * @param names their names in the platform's terms; unknown ones are ignored
   */
  DispatchFeatures features(List<String> names);

  /** Returns the codec for catalog documents. */
  CatalogCodec catalogs();

  /** Decodes a caller's request; fails if it is invalid. */
  Outcome<InboundRequest> readRequest(FullHttpRequest request);

  /** Encodes a request to a backend server. */
  FullHttpRequest backendRequest(BackendRequest request);

  /** Decodes the status and headers of a backend server's response. */
  ResponseHead readResponseHead(HttpResponse response);

  /**
   * Returns whether a header with this name can make {@link #readResponseHead} return the id of a
   * request, a seal, or that the request did not run.
   */
  boolean mayIdentifyResponse(String headerName);

  /**
   * Encodes a request to the source to copy the state of a running request to the target.
   *
   * @param finalCopy whether the source stops the request before it copies the rest of its state
   */
  FullHttpRequest transferRequest(
      InboundRequest request, BackendRecord source, BackendRecord target, boolean finalCopy);

  /** Decodes the response to a state transfer request. */
  TransferResponse readTransferResponse(int status, byte[] body);

  /** Encodes a health check, which waits for a slot or is rejected like any other request. */
  FullHttpRequest healthRequest(BackendRecord backend, String healthPath);

  /** Encodes a request for an engine's report on itself, which needs no slot. */
  FullHttpRequest reportRequest(BackendRecord engine);

  /**
   * Returns whether the response to a health check or the report states that another backend
   * server, or another start of it, sent it.
   */
  boolean isFromAnother(BackendRecord backend, HttpResponse response, byte[] body);

  /** Returns the reference to transferred state for {@link BackendRequest#stateReference}. */
  String stateReference(BackendRecord source, String handle);

  /**
   * Encodes a caller's request for another gateway, with the time that is left, on a connection of
   * its own.
   */
  FullHttpRequest gatewayRequest(InboundRequest request, long leftMillis);

  /** Encodes a request as a caller sends it, for warming up. */
  FullHttpRequest callerRequest(InboundRequest request);

  /** Encodes the head of a backend server's successful response to a request, for warming up. */
  HttpResponse backendResponse(FullHttpRequest request, boolean eventStream);

  /** Decodes a request of a backend server or an operator to the control interface. */
  ControlRequest readControlRequest(FullHttpRequest request);

  /**
   * Encodes an operator's order to evacuate a data centre.
   *
   * @param ends whether the order is withdrawn instead
   * @param revision revision of the evacuated data centres that the order was made for; null if it
   *     names none
   */
  OperatorCall evacuationCall(String dataCentre, boolean ends, @Nullable Long revision);
}
