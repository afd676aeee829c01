package org.curranthaven.internal.gateway;

/**
 * A complete response to a completion request.
 *
 * @param generation generation that produced it
 * @param text text of all tokens
 * @param finishReason why the generation ended
 * @param promptTokens length of the prompt, in tokens
 * @param completionTokens length of the output, in tokens
 */
record Completion(
    String generation, String text, String finishReason, int promptTokens, int completionTokens) {}
