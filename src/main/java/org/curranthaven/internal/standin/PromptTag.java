package org.curranthaven.internal.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * The tag in a prompt that tells a stand-in engine which tokens to produce.
 *
 * @param nonce unique id of the request
 * @param tokens output length
 */
record PromptTag(String nonce, int tokens) {
  private static final Pattern TAG_PATTERN =
      Pattern.compile("\\[\\[nonce=([A-Za-z0-9-]+) tokens=(\\d+)]]");
  private static final int SHORT_GENERATION_CHARS = 8;

  /** Returns the tag as written in a prompt. */
  String asText() {
    return "[[nonce=" + nonce + " tokens=" + tokens + "]]";
  }

  /** Returns the prompt of a completion request. */
  static String promptOf(JsonNode body) {
    return body.has("messages") ? body.path("messages").toString() : body.path("prompt").asText();
  }

  /** Returns the tag in a completion request, or null if there is none. */
  static @Nullable PromptTag findIn(JsonNode body) {
    Matcher matcher = TAG_PATTERN.matcher(promptOf(body));
    return matcher.find()
        ? new PromptTag(matcher.group(1), Integer.parseInt(matcher.group(2)))
        : null;
  }

  /** Returns the text of the output token at the given index. */
  String tokenText(String generation, int index) {
    String shortId = generation.substring(0, Math.min(SHORT_GENERATION_CHARS, generation.length()));
    return nonce + "." + shortId + "." + index + " ";
  }
}
