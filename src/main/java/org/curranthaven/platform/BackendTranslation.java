package org.curranthaven.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.util.Locale;
import org.curranthaven.internal.relay.BackendRequest;
import org.curranthaven.internal.relay.InboundRequest;
import org.curranthaven.internal.relay.ResponseHead;
import org.curranthaven.internal.relay.TransferResponse;
import org.curranthaven.internal.settings.Json;
import org.curranthaven.internal.transport.wire.BackendRecord;

/** Writes calls to backend servers and reads their answers. */
final class BackendTranslation {
  private static final String TRANSFER_PATH = "/api/kv-move";
  private static final int MISDIRECTED_REQUEST = 421;
  private static final long MILLIS_PER_SECOND = 1_000;

  private BackendTranslation() {}

  static FullHttpRequest backendRequest(BackendRequest call) {
    InboundRequest inbound = call.request();
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            inbound.method(),
            inbound.uri(),
            Unpooled.wrappedBuffer(inbound.body()),
            DefaultHttpHeadersFactory.headersFactory().withValidation(false),
            DefaultHttpHeadersFactory.trailersFactory());
    HttpHeaders headers = request.headers();
    headers.set(inbound.headers());
    headers.set(Headers.DEADLINE, call.deadlineLeftMillis());
    headers.set(Headers.EXPECTED_BACKEND, call.backend().getId());
    if (!call.workspace().isEmpty()) {
      headers.set(Headers.WORKSPACE, call.workspace());
    }
    if (call.urgency() >= 0) {
      headers.set(Headers.URGENCY, call.urgency());
    }
    if (call.resumeAfter().isEmpty()) {
      headers.remove(Headers.LAST_EVENT_ID);
    } else {
      headers.set(Headers.LAST_EVENT_ID, call.resumeAfter());
    }
    if (!call.stateReference().isEmpty()) {
      headers.set(Headers.STATE_REFERENCE, call.stateReference());
    }
    if (!call.backupAddress().isEmpty()) {
      headers.set(Headers.BACKUP_ADDRESS, call.backupAddress());
    }
    if (inbound.body().length > 0 || !usuallyHasNoBody(inbound.method())) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, inbound.body().length);
    }
    return request;
  }

  private static boolean usuallyHasNoBody(HttpMethod method) {
    return method.equals(HttpMethod.GET) || method.equals(HttpMethod.HEAD);
  }

  static ResponseHead responseHead(HttpResponse response) {
    HttpHeaders headers = response.headers();
    int status = response.status().code();
    return new ResponseHead(
        status,
        headers.get(Headers.REQUEST_ID, ""),
        headers.contains(Headers.RESPONSE_SEAL),
        headers.contains(Headers.NOT_RUN),
        status == MISDIRECTED_REQUEST,
        headers
            .get(HttpHeaderNames.CONTENT_TYPE, "")
            .toLowerCase(Locale.ROOT)
            .startsWith("text/event-stream"),
        keepAliveMillis(headers.get("Keep-Alive", "")),
        headers.containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true));
  }

  private static long keepAliveMillis(String text) {
    for (String option : text.split(",")) {
      String[] pair = option.strip().split("=");
      if (pair.length == 2 && pair[0].equalsIgnoreCase("timeout")) {
        try {
          return (long) (Double.parseDouble(pair[1]) * MILLIS_PER_SECOND);
        } catch (NumberFormatException e) {
          return 0;
        }
      }
    }
    return 0;
  }

  private record TransferBody(String id, String target, boolean last) {}

  static FullHttpRequest transferRequest(
      InboundRequest call, BackendRecord source, BackendRecord target, boolean last) {
    byte[] body = Json.write(new TransferBody(call.id(), target.getAddress(), last)).toByteArray();
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.POST, TRANSFER_PATH, Unpooled.wrappedBuffer(body));
    request.headers().set(HttpHeaderNames.HOST, source.getAddress());
    request.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    return request;
  }

  static TransferResponse transferResponse(int status, byte[] body) {
    try {
      JsonNode json = Json.LENIENT.readTree(body);
      return new TransferResponse(status, json == null ? "" : json.path("handle").asText(""));
    } catch (IOException e) {
      return new TransferResponse(status, "");
    }
  }
}
