package org.curranthaven.platform;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import org.curranthaven.api.Outcome;
import org.curranthaven.internal.catalog.CatalogCodec;
import org.curranthaven.internal.dispatch.DispatchFeatures;
import org.curranthaven.internal.relay.BackendRequest;
import org.curranthaven.internal.relay.ControlRequest;
import org.curranthaven.internal.relay.InboundRequest;
import org.curranthaven.internal.relay.OperatorCall;
import org.curranthaven.internal.relay.ResponseHead;
import org.curranthaven.internal.relay.TransferResponse;
import org.curranthaven.internal.relay.WireProtocol;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.jspecify.annotations.Nullable;

/** Encodes and decodes the HTTP messages of the platform. Thread-safe. */
public class PlatformProtocol implements WireProtocol {
  /** Name under which a deployment states that requests compete for insufficient memory. */
  private static final String PRESSURE = "pressure";

  private final CatalogTranslation catalogs = new CatalogTranslation();

  @Override
  public String name() {
    return "platform";
  }

  @Override
  public DispatchFeatures features(List<String> names) {
    return new DispatchFeatures(names.contains(PRESSURE));
  }

  @Override
  public CatalogCodec catalogs() {
    return catalogs;
  }

  @Override
  public Outcome<InboundRequest> readRequest(FullHttpRequest request) {
    return RequestTranslation.read(request);
  }

  @Override
  public FullHttpRequest backendRequest(BackendRequest request) {
    return BackendTranslation.backendRequest(request);
  }

  @Override
  public ResponseHead readResponseHead(HttpResponse response) {
    return BackendTranslation.responseHead(response);
  }

  @Override
  public boolean mayIdentifyResponse(String headerName) {
    return headerName.equalsIgnoreCase(Headers.REQUEST_ID)
        || headerName.equalsIgnoreCase(Headers.RESPONSE_SEAL)
        || headerName.equalsIgnoreCase(Headers.NOT_RUN);
  }

  @Override
  public FullHttpRequest transferRequest(
      InboundRequest request, BackendRecord source, BackendRecord target, boolean finalCopy) {
    return BackendTranslation.transferRequest(request, source, target, finalCopy);
  }

  @Override
  public TransferResponse readTransferResponse(int status, byte[] body) {
    return BackendTranslation.transferResponse(status, body);
  }

  @Override
  public FullHttpRequest healthRequest(BackendRecord backend, String healthPath) {
    return BackendTranslation.healthRequest(backend, healthPath);
  }

  @Override
  public FullHttpRequest reportRequest(BackendRecord engine) {
    return BackendTranslation.healthRequest(engine, BackendTranslation.REPORT_PATH);
  }

  @Override
  public boolean isFromAnother(BackendRecord backend, HttpResponse response, byte[] body) {
    return BackendTranslation.isFromAnother(backend, response, body);
  }

  @Override
  public String stateReference(BackendRecord source, String handle) {
    return source.getAddress() + "/" + handle;
  }

  @Override
  public FullHttpRequest gatewayRequest(InboundRequest request, long leftMillis) {
    return RequestTranslation.writeForGateway(request, leftMillis);
  }

  @Override
  public FullHttpRequest callerRequest(InboundRequest request) {
    return RequestTranslation.write(request);
  }

  @Override
  public HttpResponse backendResponse(FullHttpRequest request, boolean eventStream) {
    return BackendTranslation.response(request, eventStream);
  }

  @Override
  public ControlRequest readControlRequest(FullHttpRequest request) {
    return ControlTranslation.read(request);
  }

  @Override
  public OperatorCall evacuationCall(String dataCentre, boolean ends, @Nullable Long revision) {
    return ControlTranslation.evacuationCall(dataCentre, ends, revision);
  }
}
