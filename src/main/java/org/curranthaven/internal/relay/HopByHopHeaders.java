package org.curranthaven.internal.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/**
 * Tells which headers of a message concern one connection only and are not passed on (RFC 9110,
 * section 7.6.1).
 *
 * <pre>{@code
 * Set<String> dropped = HopByHopHeaders.of(request.headers());
 * }</pre>
 */
public final class HopByHopHeaders {
  private static final Set<String> ALWAYS =
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

  /** Returns the names in lower case, those that the message's own Connection header lists too. */
  public static Set<String> of(HttpHeaders headers) {
    Set<String> names = new HashSet<>(ALWAYS);
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String option : value.split(",")) {
        names.add(option.strip().toLowerCase(Locale.ROOT));
      }
    }
    return names;
  }

  /** Adds the headers whose names are not among the dropped ones. */
  public static void copy(HttpHeaders from, HttpHeaders to, Set<String> dropped) {
    from.forEach(
        header -> {
          if (!dropped.contains(header.getKey().toLowerCase(Locale.ROOT))) {
            to.add(header.getKey(), header.getValue());
          }
        });
  }
}
