package org.curranthaven.internal.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/**
 * Determines the headers of a message that apply to one connection only and are not forwarded (RFC
 * 9110, section 7.6.1).
 *
 * <pre>{@code
 * Set<String> dropped = HopByHopHeaders.of(request.headers());
 * }</pre>
 */
public final class HopByHopHeaders {
  /**
   * Headers that are dropped from every message. Content-Length is among them because the forwarded
   * message gets its own.
   */
  private static final Set<String> ALWAYS_DROPPED =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authorization",
          "proxy-authenticate",
          "transfer-encoding",
          "te",
          "trailer",
          "upgrade",
          "expect",
          "content-length");

  private HopByHopHeaders() {}

  /**
   * Returns the lower-case names of the headers that are not forwarded, including those that the
   * message's Connection header lists.
   */
  public static Set<String> of(HttpHeaders headers) {
    Set<String> names = new HashSet<>(ALWAYS_DROPPED);
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String option : value.split(",")) {
        names.add(option.strip().toLowerCase(Locale.ROOT));
      }
    }
    return names;
  }

  /** Copies all headers except those whose lower-case names are in {@code dropped}. */
  public static void copy(HttpHeaders from, HttpHeaders to, Set<String> dropped) {
    from.forEach(
        header -> {
          if (!dropped.contains(header.getKey().toLowerCase(Locale.ROOT))) {
            to.add(header.getKey(), header.getValue());
          }
        });
  }
}
