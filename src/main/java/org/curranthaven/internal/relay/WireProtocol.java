package org.curranthaven.internal.relay;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.curranthaven.api.Outcome;
import org.curranthaven.internal.catalog.CatalogCodec;
import org.curranthaven.internal.transport.wire.BackendRecord;

/**
 * Translates between the words of one platform and this system's types; decides nothing. An
 * implementation is found by its name as a service of {@link java.util.ServiceLoader}.
 */
public interface WireProtocol {
  /** Returns the name under which settings choose the protocol. */
  String name();

  /** Returns the reader of catalog documents. */
  CatalogCodec catalogs();

  /** Reads a caller's request; fails if it cannot be understood. */
  Outcome<InboundRequest> readRequest(FullHttpRequest request);

  /** Writes a call to a backend server. */
  FullHttpRequest backendRequest(BackendRequest call);

  /** Reads the status and headers of a backend server's answer. */
  ResponseHead readResponseHead(HttpResponse response);

  /** Writes an order to copy a running request to another backend server. */
  FullHttpRequest transferRequest(
      InboundRequest call, BackendRecord source, BackendRecord target, boolean last);

  /** Reads the answer to such an order. */
  TransferResponse readTransferResponse(int status, byte[] body);

  /** Returns how a copy is named in {@link BackendRequest#stateReference}. */
  String stateReference(BackendRecord source, String handle);

  /** Reads a call of a backend server or an operator to the control interface. */
  ControlRequest readControlRequest(FullHttpRequest request);
}
