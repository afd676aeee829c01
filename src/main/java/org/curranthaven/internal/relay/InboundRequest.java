package org.curranthaven.internal.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import org.curranthaven.internal.transport.wire.PromptPart;

/**
 * A caller's whole request, decoded.
 *
 * @param id the caller's name for the request; empty when it gave none
 * @param host host name asked for, without a port
 * @param uri path and query as the caller sent them
 * @param path path alone
 * @param key key of the workspace; empty when the caller sent none
 * @param deadlineMillis how long the caller waits; 0 when it does not tell
 * @param model model asked for; empty for a plain service
 * @param promptTokens length of the prompt; 0 when unknown
 * @param maxOutputTokens largest output; 0 when unknown
 * @param hintedOutputTokens output that the caller expects; 0 when unknown
 * @param parts parts of the prompt, in order
 * @param lastEventId event after which the caller wants a stream to go on; empty for all of it
 * @param headers headers that are passed on to the backend server
 * @param body whole body
 * @param keepAlive whether the caller's connection may be used again
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
    String model,
    int promptTokens,
    int maxOutputTokens,
    int hintedOutputTokens,
    List<PromptPart> parts,
    String lastEventId,
    HttpHeaders headers,
    byte[] body,
    boolean keepAlive) {}
