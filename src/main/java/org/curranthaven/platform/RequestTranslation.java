package org.curranthaven.platform;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpUtil;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.relay.HopByHopHeaders;
import org.curranthaven.internal.relay.InboundRequest;
import org.curranthaven.internal.transport.wire.PromptPart;

/** Reads callers' requests. */
final class RequestTranslation {
  private RequestTranslation() {}

  static Outcome<InboundRequest> read(FullHttpRequest request) {
    HttpHeaders headers = request.headers();
    String uri = request.uri();
    if (!uri.startsWith("/")) {
      return Outcome.failed(ResultCode.MALFORMED_BODY, "the request target is no path");
    }
    if (headers.getAll(HttpHeaderNames.HOST).size() > 1) {
      return Outcome.failed(ResultCode.MALFORMED_BODY, "the request names two hosts");
    }
    int[] tokens = tokenCounts(headers.get(Headers.TOKEN_COUNTS, ""));
    int query = uri.indexOf('?');
    return Outcome.success(
        new InboundRequest(
            headers.get(Headers.REQUEST_ID, ""),
            hostName(headers.get(HttpHeaderNames.HOST, "")),
            request.method(),
            uri,
            query < 0 ? uri : uri.substring(0, query),
            headers.get(Headers.WORKSPACE_KEY, "").strip(),
            numberOrZero(headers.get(Headers.DEADLINE, "")),
            headers.get(Headers.MODEL, ""),
            tokens[0],
            tokens[1],
            (int) numberOrZero(headers.get(Headers.OUTPUT_LENGTH_HINT, "")),
            promptParts(headers.get(Headers.PROMPT_PARTS, "")),
            headers.get(Headers.LAST_EVENT_ID, ""),
            forwardedHeaders(headers),
            ByteBufUtil.getBytes(request.content()),
            HttpUtil.isKeepAlive(request)));
  }

  private static String hostName(String host) {
    int colon = host.indexOf(':');
    return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
  }

  private static HttpHeaders forwardedHeaders(HttpHeaders headers) {
    Set<String> dropped = HopByHopHeaders.of(headers);
    dropped.addAll(Headers.SET_BY_SYSTEM);
    dropped.remove("host");
    dropped.removeAll(ALWAYS_FORWARDED);
    HttpHeaders kept = new DefaultHttpHeaders();
    HopByHopHeaders.copy(headers, kept, dropped);
    return kept;
  }

  /** Headers that a caller cannot have dropped by naming them as options of its connection. */
  private static final Set<String> ALWAYS_FORWARDED =
      Set.of("attempt-id", "model", "token-count", "prompt-prefix", "last-event-id");

  private static int[] tokenCounts(String text) {
    String[] parts = text.split(",");
    int input = (int) numberOrZero(parts[0]);
    int output = parts.length > 1 ? (int) numberOrZero(parts[1]) : 0;
    return new int[] {input, output};
  }

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
                .setTokens((int) numberOrZero(entry.substring(colon + 1)))
                .build());
      }
    }
    return parts;
  }
}
