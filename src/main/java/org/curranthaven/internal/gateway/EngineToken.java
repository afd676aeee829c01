package org.curranthaven.internal.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.curranthaven.internal.settings.Json;
import org.jspecify.annotations.Nullable;

/**
 * One token event of an engine's stream.
 *
 * @param generation generation that the token belongs to
 * @param index index of the token in the generation, from 0
 * @param text text of the token
 * @param finishReason why the generation ended; null while it continues
 * @param promptTokens length of the prompt as counted by the engine, in tokens; 0 if not reported
 */
record EngineToken(
    String generation, int index, String text, @Nullable String finishReason, int promptTokens) {
  private static final String DATA_PREFIX = "data:";

  /** Parses a line of the stream; returns null for a line without a token. */
  static @Nullable EngineToken parse(String line) {
    if (!line.startsWith(DATA_PREFIX)) {
      return null;
    }
    String data = line.substring(DATA_PREFIX.length()).strip();
    if (!data.startsWith("{")) {
      return null;
    }
    try {
      JsonNode node = Json.LENIENT.readTree(data);
      JsonNode choice = node.path("choices").path(0);
      JsonNode text = choice.has("text") ? choice.path("text") : choice.at("/delta/content");
      JsonNode finish = choice.path("finish_reason");
      return new EngineToken(
          node.path("id").asText(),
          node.path("token_index").asInt(-1),
          text.asText(""),
          finish.isTextual() ? finish.asText() : null,
          node.at("/usage/prompt_tokens").asInt(0));
    } catch (JsonProcessingException e) {
      return null;
    }
  }
}
