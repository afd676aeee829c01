package org.curranthaven.internal.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/** Decides whether the head of a response can be read in one way only. */
final class ResponseFraming {
  /**
   * Where a head was cut off and another follows, a line of the first holds this; the status of the
   * other may be none.
   */
  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/1\\.[01] [+-]?\\d[0-9a-fA-FxX]*(\\s|$)");

  private ResponseFraming() {}

  static boolean isUnambiguous(HttpResponse response) {
    return hasKnownVersion(response) && hasKnownEncoding(response) && isOneHead(response);
  }

  private static boolean hasKnownVersion(HttpResponse response) {
    HttpVersion version = response.protocolVersion();
    return version.equals(HttpVersion.HTTP_1_1) || version.equals(HttpVersion.HTTP_1_0);
  }

  /** The decoder takes any list of transfer encodings that holds chunked for chunked alone. */
  private static boolean hasKnownEncoding(HttpResponse response) {
    List<String> encodings = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    return encodings.isEmpty()
        || (encodings.size() == 1
            && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.getFirst().strip()));
  }

  private static boolean isOneHead(HttpResponse response) {
    if (STATUS_LINE.matcher(response.status().reasonPhrase()).find()) {
      return false;
    }
    for (Map.Entry<String, String> header : response.headers()) {
      if (STATUS_LINE.matcher(header.getValue()).find()) {
        return false;
      }
    }
    return true;
  }
}
