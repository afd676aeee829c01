package org.curranthaven.internal.gateway;

/**
 * A whole answer.
 *
 * @param generation generation that it comes from
 * @param text text of all tokens
 * @param finishReason why the generation ended
 * @param promptTokens length of the prompt, in tokens
 * @param completionTokens length of the answer, in tokens
 */
record Completion(
    String generation, String text, String finishReason, int promptTokens, int completionTokens) {}
