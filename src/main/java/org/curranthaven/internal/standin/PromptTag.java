package org.curranthaven.internal.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * The part of a prompt that tells a stand-in what to answer.
 *
 * @param nonce names the request
 * @param tokens length of the answer
 */
record PromptTag(String nonce, int tokens) {
  private static final Pattern TAG = Pattern.compile("\\[\\[nonce=([A-Za-z0-9-]+) tokens=(\\d+)]]");
  private static final int GENERATION_CHARS = 8;

  /** Returns the tag as it stands in a prompt. */
  String asText() {
    return "[[nonce=" + nonce + " tokens=" + tokens + "]]";
  }

  /** Returns the prompt of a completion request. */
  static String prompt(JsonNode body) {
    return body.has("messages") ? body.path("messages").toString() : body.path("prompt").asText();
  }

  /** Finds the tag of a completion request; null if there is none. */
  static @Nullable PromptTag find(JsonNode body) {
    Matcher matcher = TAG.matcher(prompt(body));
    return matcher.find()
        ? new PromptTag(matcher.group(1), Integer.parseInt(matcher.group(2)))
        : null;
  }

  /** Returns the text of a token of the answer. */
  String text(String generation, int index) {
    String shortId = generation.substring(0, Math.min(GENERATION_CHARS, generation.length()));
    return nonce + "." + shortId + "." + index + " ";
  }
}
