package org.curranthaven.internal.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.curranthaven.internal.settings.Json;

/** Parses stored completion responses. */
final class StoredCompletion {
  private StoredCompletion() {}

  /** Parses a response that {@link CompletionFormat#response} wrote. */
  static Completion parse(ByteString body) {
    try {
      JsonNode node = Json.LENIENT.readTree(body.newInput());
      JsonNode choice = node.path("choices").path(0);
      JsonNode text = choice.has("text") ? choice.path("text") : choice.at("/message/content");
      return new Completion(
          node.path("id").asText(),
          text.asText(),
          choice.path("finish_reason").asText(),
          node.at("/usage/prompt_tokens").asInt(),
          node.at("/usage/completion_tokens").asInt());
    } catch (IOException e) {
      throw new UncheckedIOException("stored completion response cannot be parsed", e);
    }
  }
}
