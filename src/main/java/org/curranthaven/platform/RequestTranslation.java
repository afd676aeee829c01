package org.curranthaven.platform;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.relay.HopByHopHeaders;
import org.curranthaven.internal.relay.InboundRequest;
import org.curranthaven.internal.transport.wire.PromptPart;

/** Decodes callers' requests. */
final class RequestTranslation {
  /** Limit on a number of tokens, so that the sum over many requests does not overflow. */
  private static final int MAX_TOKENS = 10_000_000;

  private RequestTranslation() {}

  static Outcome<InboundRequest> read(FullHttpRequest request) {
    HttpHeaders headers = request.headers();
    String uri = request.uri();
    if (!uri.startsWith("/")) {
      return Outcome.failed(
          ResultCode.MALFORMED_BODY, "the request target is not a path; send it as /path?query");
    }
    if (headers.getAll(HttpHeaderNames.HOST).size() > 1) {
      return Outcome.failed(
          ResultCode.MALFORMED_BODY, "the request has more than one Host header; send exactly one");
    }
    int[] promptAndOutput = tokenCounts(headers.get(Headers.TOKEN_COUNTS, ""));
    int queryStart = uri.indexOf('?');
    return Outcome.success(
        new InboundRequest(
            headers.get(Headers.REQUEST_ID, ""),
            hostName(headers.get(HttpHeaderNames.HOST, "")),
            request.method(),
            uri,
            queryStart < 0 ? uri : uri.substring(0, queryStart),
            headers.get(Headers.WORKSPACE_KEY, "").strip(),
            numberOrZero(headers.get(Headers.DEADLINE, "")),
            promptAndOutput[0],
            promptAndOutput[1],
            tokensOrZero(headers.get(Headers.OUTPUT_LENGTH_HINT, "")),
            promptParts(headers.get(Headers.PROMPT_PARTS, "")),
            headers.get(Headers.LAST_EVENT_ID, ""),
            resumedRequestId(headers.getAll(Headers.RESUMED_REQUEST_ID)),
            forwardedHeaders(headers),
            bytesOf(request.content())));
  }

  /** Returns the body, which is not copied if the buffer holds nothing else. */
  private static byte[] bytesOf(ByteBuf content) {
    return ByteBufUtil.getBytes(content, content.readerIndex(), content.readableBytes(), false);
  }

  /** Encodes what {@link #read} decodes, for a caller without a key. */
  static FullHttpRequest write(InboundRequest inbound) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            inbound.method(),
            inbound.uri(),
            Unpooled.wrappedBuffer(inbound.body()));
    request
        .headers()
        .set(HttpHeaderNames.HOST, inbound.host())
        .set(HttpHeaderNames.CONTENT_LENGTH, inbound.body().length)
        .set(Headers.REQUEST_ID, inbound.id())
        .set(Headers.DEADLINE, inbound.deadlineMillis())
        .set(Headers.TOKEN_COUNTS, inbound.promptTokens() + "," + inbound.maxOutputTokens())
        .set(Headers.OUTPUT_LENGTH_HINT, inbound.hintedOutputTokens())
        .set(
            Headers.PROMPT_PARTS,
            inbound.parts().stream()
                .map(part -> part.getId() + ":" + part.getTokens())
                .collect(Collectors.joining(",")));
    return request;
  }

  /** Encodes what {@link #read} has decoded for another gateway, with the key and all headers. */
  static FullHttpRequest writeForGateway(InboundRequest inbound, long leftMillis) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            inbound.method(),
            inbound.uri(),
            Unpooled.wrappedBuffer(inbound.body()));
    HttpHeaders headers = request.headers();
    headers
        .set(inbound.headers())
        .remove(HttpHeaderNames.EXPECT)
        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        .add(HttpHeaderNames.VIA, InboundRequest.FORWARDED_BY)
        .set(Headers.DEADLINE, leftMillis);
    if (inbound.body().length > 0 || !inbound.method().equals(HttpMethod.GET)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, inbound.body().length);
    }
    setUnlessEmpty(headers, Headers.WORKSPACE_KEY, inbound.key());
    setUnlessEmpty(headers, Headers.RESUMED_REQUEST_ID, inbound.resumedRequestId());
    if (inbound.hintedOutputTokens() > 0) {
      headers.set(Headers.OUTPUT_LENGTH_HINT, inbound.hintedOutputTokens());
    }
    return request;
  }

  private static void setUnlessEmpty(HttpHeaders headers, String name, String value) {
    if (!value.isEmpty()) {
      headers.set(name, value);
    }
  }

  /** Returns the id if it is stated, and not with several values; else an empty string. */
  private static String resumedRequestId(List<String> values) {
    return values.stream().map(String::strip).distinct().count() == 1
        ? values.getFirst().strip()
        : "";
  }

  private static String hostName(String host) {
    int colon = host.indexOf(':');
    return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
  }

  private static HttpHeaders forwardedHeaders(HttpHeaders headers) {
    Set<String> droppedNames = HopByHopHeaders.of(headers);
    droppedNames.addAll(Headers.RESERVED);
    droppedNames.remove("host");
    droppedNames.removeAll(ALWAYS_FORWARDED);
    HttpHeaders forwarded = new DefaultHttpHeaders();
    HopByHopHeaders.copy(headers, forwarded, droppedNames);
    return forwarded;
  }

  /** Headers that are forwarded even if the caller names them in its Connection header. */
  private static final Set<String> ALWAYS_FORWARDED =
      Set.of("attempt-id", "model", "token-count", "prompt-prefix", "last-event-id");

  /** Returns the length of the prompt and the limit on the output. */
  private static int[] tokenCounts(String text) {
    String[] counts = text.split(",", -1);
    int promptTokens = tokensOrZero(counts[0]);
    int maxOutputTokens = counts.length > 1 ? tokensOrZero(counts[1]) : 0;
    return new int[] {promptTokens, maxOutputTokens};
  }

  private static int tokensOrZero(String text) {
    return (int) Math.min(MAX_TOKENS, numberOrZero(text));
  }

  /** Returns the number in the text; 0 if the text is blank, negative or not a number. */
  private static long numberOrZero(String text) {
    try {
      return text.isBlank() ? 0 : Math.max(0, (long) Double.parseDouble(text.strip()));
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  private static List<PromptPart> promptParts(String text) {
    List<PromptPart> parts = new ArrayList<>();
    for (String entry : text.split(",")) {
      int colon = entry.indexOf(':');
      if (colon > 0) {
        parts.add(
            PromptPart.newBuilder()
                .setId(entry.substring(0, colon).strip())
                .setTokens(tokensOrZero(entry.substring(colon + 1)))
                .build());
      }
    }
    return parts;
  }
}
