package org.curranthaven.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.curranthaven.internal.dispatch.BackendStatements;
import org.curranthaven.internal.dispatch.StatedLoad;
import org.curranthaven.internal.dispatch.StatedRateLimit;
import org.curranthaven.internal.relay.BackendRequest;
import org.curranthaven.internal.relay.InboundRequest;
import org.curranthaven.internal.relay.ResponseHead;
import org.curranthaven.internal.relay.TransferResponse;
import org.curranthaven.internal.settings.Json;
import org.curranthaven.internal.settings.JsonTrees;
import org.curranthaven.internal.transport.wire.BackendRecord;

/** Encodes requests to backend servers and decodes their responses. */
final class BackendTranslation {
  /** Path at which an engine copies the state of a running request to another engine. */
  private static final String TRANSFER_PATH = "/api/kv-move";

  /** Path at which an engine states its load, and its start where a deployment has that. */
  static final String REPORT_PATH = "/api/report";

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int MISDIRECTED_REQUEST = 421;
  private static final int SERVICE_UNAVAILABLE = 503;

  /** Longest time that a backend server may want no requests; one that ends for longer leaves. */
  private static final double MAX_REST_SECONDS = 3_600;

  private static final String LEAVING = "1";
  private static final long MILLIS_PER_SECOND = 1_000;

  /** A number without sign or exponent, of at most seven digits before the decimal point. */
  private static final Pattern DECIMAL_NUMBER = Pattern.compile("\\d{1,7}(\\.\\d{1,9})?");

  /** Requests that run and wait, slots, and the percentage, if there is one. */
  private static final Pattern LOAD_FIGURES =
      Pattern.compile(
          "\\d{1,7} *, *\\d{1,7} *, *\\d{1,7}( *, *(?<percent>\\d{1,5})(\\.\\d{1,9})?)?");

  /** Characters of a malformed header value that are kept for the log. */
  private static final int MAX_QUOTED_LENGTH = 40;

  private BackendTranslation() {}

  static FullHttpRequest backendRequest(BackendRequest backendRequest) {
    InboundRequest inbound = backendRequest.request();
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
    headers.set(Headers.DEADLINE, backendRequest.deadlineLeftMillis());
    headers.set(Headers.EXPECTED_BACKEND, instanceName(backendRequest.backend()));
    if (!backendRequest.workspace().isEmpty()) {
      headers.set(Headers.WORKSPACE, backendRequest.workspace());
    }
    if (backendRequest.urgency() >= 0) {
      headers.set(Headers.URGENCY, backendRequest.urgency());
    }
    if (backendRequest.resumeAfter().isEmpty()) {
      headers.remove(Headers.LAST_EVENT_ID);
    } else {
      headers.set(Headers.LAST_EVENT_ID, backendRequest.resumeAfter());
    }
    if (!backendRequest.stateReference().isEmpty()) {
      headers.set(Headers.STATE_REFERENCE, backendRequest.stateReference());
    }
    if (!backendRequest.backupAddress().isEmpty()) {
      headers.set(Headers.BACKUP_ADDRESS, backendRequest.backupAddress());
    }
    if (inbound.body().length > 0 || !usuallyHasNoBody(inbound.method())) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, inbound.body().length);
    }
    return request;
  }

  private static String instanceName(BackendRecord backend) {
    return backend.getInstance().isEmpty() ? backend.getId() : backend.getInstance();
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
        headers.containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true),
        statements(status, headers));
  }

  /** Encodes the head of a successful response, which {@link #responseHead} decodes. */
  static HttpResponse response(FullHttpRequest request, boolean eventStream) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    response
        .headers()
        .set(Headers.REQUEST_ID, request.headers().get(Headers.REQUEST_ID, ""))
        .set(Headers.RESPONSE_SEAL, "warm-up")
        .set("Keep-Alive", "timeout=2")
        .set(
            HttpHeaderNames.CONTENT_TYPE,
            eventStream ? HttpHeaderValues.TEXT_EVENT_STREAM : HttpHeaderValues.TEXT_PLAIN);
    return response;
  }

  private static BackendStatements statements(int status, HttpHeaders headers) {
    List<String> malformed = new ArrayList<>();
    boolean leaving = false;
    for (String value : headers.getAll(Headers.LEAVING)) {
      if (value.strip().equals(LEAVING)) {
        leaving = true;
      } else {
        malformed.add("that it leaves by \"" + shortened(value) + "\"");
      }
    }
    List<String> restTimes =
        status == SERVICE_UNAVAILABLE ? headers.getAll(HttpHeaderNames.RETRY_AFTER) : List.of();
    String restText = String.join(",", restTimes).strip();
    long restMillis = restMillis(restText);
    if (restMillis < 0) {
      malformed.add("a time of \"" + shortened(restText) + "\" s in which it wants no requests");
    }
    return new BackendStatements(
        rateLimit(headers.getAll(Headers.RATE_LIMIT)),
        leaving,
        Math.max(0, restMillis),
        load(headers.getAll(Headers.SERVER_LOAD), malformed),
        malformed);
  }

  /** Decodes the load; adds what is none to the malformed statements. */
  private static StatedLoad load(List<String> values, List<String> malformed) {
    if (values.isEmpty()) {
      return new StatedLoad.None();
    }
    String text = String.join(";", values).strip();
    Matcher figures = LOAD_FIGURES.matcher(text);
    boolean wellFormed = figures.matches();
    String percent = wellFormed ? figures.group("percent") : null;
    if (!wellFormed || (percent != null && Integer.parseInt(percent) == 0)) {
      malformed.add("a load of \"" + shortened(text) + "\"");
      return new StatedLoad.None();
    }
    return percent == null
        ? new StatedLoad.None()
        : new StatedLoad.Slowness(Integer.parseInt(percent));
  }

  /** Returns the time; 0 if none is stated, -1 if it is no number of seconds or far too long. */
  private static long restMillis(String text) {
    if (text.isEmpty()) {
      return 0;
    }
    double seconds =
        DECIMAL_NUMBER.matcher(text).matches() ? Double.parseDouble(text) : Double.MAX_VALUE;
    return seconds > MAX_REST_SECONDS ? -1 : (long) (seconds * MILLIS_PER_SECOND);
  }

  private static String shortened(String text) {
    return text.substring(0, Math.min(text.length(), MAX_QUOTED_LENGTH));
  }

  private static StatedRateLimit rateLimit(List<String> values) {
    if (values.isEmpty()) {
      return new StatedRateLimit.None();
    }
    String text = String.join(",", values).strip();
    return DECIMAL_NUMBER.matcher(text).matches()
        ? new StatedRateLimit.RequestsPerSecond(Double.parseDouble(text))
        : new StatedRateLimit.Malformed(shortened(text));
  }

  private static long keepAliveMillis(String keepAlive) {
    for (String option : keepAlive.split(",")) {
      String[] nameAndValue = option.strip().split("=");
      if (nameAndValue.length == 2 && nameAndValue[0].equalsIgnoreCase("timeout")) {
        try {
          return (long) (Double.parseDouble(nameAndValue[1]) * MILLIS_PER_SECOND);
        } catch (NumberFormatException e) {
          return 0;
        }
      }
    }
    return 0;
  }

  /**
   * Body of a state transfer request.
   *
   * @param id id of the running request
   * @param target address of the engine that receives the state
   * @param last whether the source stops the request before it copies the rest of its state
   */
  private record TransferBody(String id, String target, boolean last) {}

  static FullHttpRequest transferRequest(
      InboundRequest inbound, BackendRecord source, BackendRecord target, boolean finalCopy) {
    byte[] body =
        Json.write(new TransferBody(inbound.id(), target.getAddress(), finalCopy)).toByteArray();
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.POST, TRANSFER_PATH, Unpooled.wrappedBuffer(body));
    request.headers().set(HttpHeaderNames.HOST, source.getAddress());
    request.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    return request;
  }

  static TransferResponse transferResponse(int status, byte[] body) {
    TransferResponse.Outcome outcome =
        switch (status) {
          case OK -> TransferResponse.Outcome.COPIED;
          case NOT_FOUND -> TransferResponse.Outcome.NOT_RUNNING;
          default -> TransferResponse.Outcome.REJECTED;
        };
    String handle = handleOf(body);
    // Every copy has a handle; without one, the body is not what the engine sent.
    return outcome == TransferResponse.Outcome.COPIED && handle.isEmpty()
        ? new TransferResponse(TransferResponse.Outcome.NO_RESPONSE, "")
        : new TransferResponse(outcome, handle);
  }

  static FullHttpRequest healthRequest(BackendRecord backend, String path) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
    request.headers().set(HttpHeaderNames.HOST, backend.getAddress());
    request.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    return request;
  }

  /** Returns whether a response to a health check or a report states another name or start. */
  static boolean isFromAnother(BackendRecord backend, HttpResponse response, byte[] body) {
    String name = response.headers().get(Headers.RESPONDING_BACKEND, instanceName(backend));
    return !name.equals(instanceName(backend)) || statesOtherStart(backend, body);
  }

  private static boolean statesOtherStart(BackendRecord backend, byte[] body) {
    try {
      JsonNode json = JsonTrees.read(body);
      JsonNode start = json == null ? null : json.get("born");
      return start != null
          && start.isIntegralNumber()
          && backend.getIncarnation() != 0
          && start.longValue() != backend.getIncarnation();
    } catch (IOException e) {
      return false; // Health checks may have any body.
    }
  }

  /** Returns the handle in the body of a transfer response; empty if it has none or is cut off. */
  private static String handleOf(byte[] body) {
    try {
      JsonNode json = JsonTrees.read(body);
      return json == null ? "" : json.path("handle").asText("");
    } catch (IOException e) {
      return "";
    }
  }
}
