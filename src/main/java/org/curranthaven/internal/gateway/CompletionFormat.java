package org.curranthaven.internal.gateway;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.curranthaven.internal.settings.Json;
import org.jspecify.annotations.Nullable;

/** Writes responses in the format of the OpenAI completions API. */
final class CompletionFormat {
  private final CompletionRequest request;
  private final long createdSeconds;

  CompletionFormat(CompletionRequest request, long createdSeconds) {
    this.request = request;
    this.createdSeconds = createdSeconds;
  }

  /** Returns one token as a chunk of a stream; the chunk's id is the generation. */
  String chunk(EngineToken token) {
    ObjectNode chunk = createHeader(token.generation(), true);
    chunk.put("token_index", token.index());
    ObjectNode choice = addChoice(chunk, token.finishReason());
    if (request.chat()) {
      ObjectNode delta = choice.putObject("delta");
      if (token.index() == 0) {
        delta.put("role", "assistant");
      }
      delta.put("content", token.text());
    } else {
      choice.put("text", token.text());
    }
    return Json.text(chunk);
  }

  /** Returns the last chunk of a stream whose caller requested usage figures. */
  String usageChunk(Completion completion) {
    ObjectNode chunk = createHeader(completion.generation(), true);
    chunk.putArray("choices");
    addUsage(chunk, completion);
    return Json.text(chunk);
  }

  /** Returns a complete response. */
  ObjectNode response(Completion completion) {
    ObjectNode response = createHeader(completion.generation(), false);
    ObjectNode choice = addChoice(response, completion.finishReason());
    if (request.chat()) {
      choice.putObject("message").put("role", "assistant").put("content", completion.text());
    } else {
      choice.put("text", completion.text());
    }
    addUsage(response, completion);
    return response;
  }

  private ObjectNode createHeader(String id, boolean isChunk) {
    String chatObject = isChunk ? "chat.completion.chunk" : "chat.completion";
    ObjectNode node = Json.MAPPER.createObjectNode();
    node.put("id", id);
    node.put("object", request.chat() ? chatObject : "text_completion");
    node.put("created", createdSeconds);
    node.put("model", request.model());
    return node;
  }

  private static ObjectNode addChoice(ObjectNode parent, @Nullable String finishReason) {
    ObjectNode choice = parent.putArray("choices").addObject();
    choice.put("index", 0);
    choice.put("finish_reason", finishReason);
    return choice;
  }

  private static void addUsage(ObjectNode parent, Completion completion) {
    parent
        .putObject("usage")
        .put("prompt_tokens", completion.promptTokens())
        .put("completion_tokens", completion.completionTokens())
        .put("total_tokens", completion.promptTokens() + completion.completionTokens());
  }
}
