package org.curranthaven.internal.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import org.curranthaven.internal.transport.wire.PromptPart;

/**
 * A caller's complete request, decoded.
 *
 * @param id id that the caller gave the request; empty if none
 * @param host requested host name, without port
 * @param uri path and query as the caller sent them
 * @param path path without the query
 * @param key key of the workspace; empty if the caller sent none
 * @param deadlineMillis how long the caller waits; 0 if the request does not state it
 * @param promptTokens length of the prompt; 0 if unknown
 * @param maxOutputTokens limit on the output; 0 if unknown
 * @param hintedOutputTokens output length that the caller expects; 0 if unknown
 * @param parts parts of the prompt, in order
 * @param lastEventId id of the event after which the caller wants a stream to resume; empty for the
 *     whole stream
 * @param resumedRequestId id of the request that began a stream which the caller takes up; empty if
 *     it is not stated
 * @param headers headers that are forwarded to the backend server
 * @param body complete body
 */
@SuppressWarnings("ArrayRecordComponent")
public record InboundRequest(
    String id,
    String host,
    HttpMethod method,
    String uri,
    String path,
    String key,
    long deadlineMillis,
    int promptTokens,
    int maxOutputTokens,
    int hintedOutputTokens,
    List<PromptPart> parts,
    String lastEventId,
    String resumedRequestId,
    HttpHeaders headers,
    byte[] body) {
  /** Names the gateways of this system in {@code Via}, as RFC 9110 has it against loops. */
  public static final String FORWARDED_BY = "1.1 curranthaven-gateway";

  /** Returns whether another gateway sent the request, which then goes to no third one. */
  boolean isForwarded() {
    return headers.containsValue(HttpHeaderNames.VIA, FORWARDED_BY, true);
  }
}
