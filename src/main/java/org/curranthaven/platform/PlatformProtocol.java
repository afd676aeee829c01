package org.curranthaven.platform;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.curranthaven.api.Outcome;
import org.curranthaven.internal.catalog.CatalogCodec;
import org.curranthaven.internal.relay.AnswerHead;
import org.curranthaven.internal.relay.BackendCall;
import org.curranthaven.internal.relay.ControlCall;
import org.curranthaven.internal.relay.InboundCall;
import org.curranthaven.internal.relay.MoveAnswer;
import org.curranthaven.internal.relay.WireProtocol;
import org.curranthaven.internal.transport.wire.BackendRecord;

/** The words of the users' platform. */
public final class PlatformProtocol implements WireProtocol {
  private final CatalogTranslation catalogs = new CatalogTranslation();

  @Override
  public String name() {
    return "platform";
  }

  @Override
  public CatalogCodec catalogs() {
    return catalogs;
  }

  @Override
  public Outcome<InboundCall> readCall(FullHttpRequest request) {
    return CallTranslation.read(request);
  }

  @Override
  public FullHttpRequest backendRequest(BackendCall call) {
    return BackendTranslation.request(call);
  }

  @Override
  public AnswerHead readAnswer(HttpResponse response) {
    return BackendTranslation.answer(response);
  }

  @Override
  public FullHttpRequest moveRequest(
      InboundCall call, BackendRecord source, BackendRecord target, boolean last) {
    return BackendTranslation.moveRequest(call, source, target, last);
  }

  @Override
  public MoveAnswer readMoveAnswer(int status, byte[] body) {
    return BackendTranslation.moveAnswer(status, body);
  }

  @Override
  public String copyName(BackendRecord source, String handle) {
    return source.getAddress() + "/" + handle;
  }

  @Override
  public ControlCall readControlCall(FullHttpRequest request) {
    return ControlTranslation.read(request);
  }
}
