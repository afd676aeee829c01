package org.curranthaven.internal.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.curranthaven.api.Failure;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.settings.Json;

/**
 * A caller's completion request.
 *
 * @param chat whether it is a chat completion
 * @param model requested model
 * @param promptChars length of the prompt, in characters
 * @param prefixHash hash of the prompt's beginning
 * @param maxTokens largest output requested, in tokens; 0 if not specified
 * @param stream whether the response is streamed token by token
 * @param includeUsage whether a stream ends with usage figures
 * @param body request body as received
 */
record CompletionRequest(
    boolean chat,
    String model,
    int promptChars,
    long prefixHash,
    int maxTokens,
    boolean stream,
    boolean includeUsage,
    ObjectNode body) {
  /** Length of the prompt prefix that is hashed for prefix caches, in characters. */
  static final int PREFIX_CHARS = 256;

  private static final int CHARS_PER_TOKEN = 4;

  /** Returns an estimate of the prompt's length, in tokens. */
  int promptTokens() {
    return promptChars / CHARS_PER_TOKEN + 1;
  }

  /** Parses and validates a request body. */
  static Outcome<CompletionRequest> parse(boolean chat, byte[] bytes) {
    JsonNode node;
    try {
      node = Json.LENIENT.readTree(bytes);
    } catch (JsonProcessingException e) {
      return Outcome.failed(
          ResultCode.MALFORMED_BODY, "the body is not JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      return Outcome.failed(
          ResultCode.MALFORMED_BODY, "the body cannot be read: " + e.getMessage());
    }
    if (!(node instanceof ObjectNode body)) {
      return Outcome.failed(ResultCode.MALFORMED_BODY, "the body is not a JSON object");
    }
    return parse(chat, body);
  }

  private static Outcome<CompletionRequest> parse(boolean chat, ObjectNode body) {
    if (!body.path("model").isTextual()) {
      return invalidParameter("model", "must be a string");
    }
    JsonNode prompt = chat ? body.path("messages") : body.path("prompt");
    boolean promptValid = chat ? prompt.isArray() && !prompt.isEmpty() : prompt.isTextual();
    if (!promptValid) {
      return chat
          ? invalidParameter("messages", "must be a non-empty array of messages")
          : invalidParameter("prompt", "must be a string");
    }
    JsonNode limit =
        body.has("max_tokens") ? body.path("max_tokens") : body.path("max_completion_tokens");
    boolean limitValid =
        limit.isMissingNode() || limit.isNull() || (limit.isInt() && limit.asInt() > 0);
    if (!limitValid) {
      return invalidParameter("max_tokens", "must be a positive integer");
    }
    if (body.has("n") && body.path("n").asInt() != 1) {
      return invalidParameter("n", "must be 1");
    }
    if (body.has("stream") && !body.path("stream").isBoolean()) {
      return invalidParameter("stream", "must be true or false");
    }
    String text = chat ? prompt.toString() : prompt.asText();
    String prefix = text.substring(0, Math.min(PREFIX_CHARS, text.length()));
    return Outcome.success(
        new CompletionRequest(
            chat,
            body.path("model").asText(),
            text.length(),
            prefix.hashCode(),
            limit.asInt(0),
            body.path("stream").asBoolean(false),
            body.path("stream_options").path("include_usage").asBoolean(false),
            body));
  }

  private static Outcome<CompletionRequest> invalidParameter(String parameter, String problem) {
    return Outcome.failed(
        Failure.of(ResultCode.INVALID_PARAMETER, "parameter '" + parameter + "' " + problem));
  }
}
