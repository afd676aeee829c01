package org.curranthaven.internal.standin;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks that each token of a response belongs to the request, comes from one generation and comes
 * in order, and counts what does not. Not thread-safe.
 */
public final class ResponseChecker {
  private static final Pattern TOKEN_PATTERN =
      Pattern.compile("([A-Za-z0-9-]+)\\.([A-Za-z0-9-]+)\\.(\\d+) ");

  private final GuaranteeViolations violations;
  private final String nonce;
  private String generation = "";
  private int nextIndex;

  /** Creates a checker for the response to the request with the given nonce. */
  public ResponseChecker(GuaranteeViolations violations, String nonce) {
    this.violations = violations;
    this.nonce = nonce;
  }

  /** Checks a part of the response text, which must hold complete tokens only. */
  public void checkText(String text) {
    Matcher matcher = TOKEN_PATTERN.matcher(text);
    while (matcher.find()) {
      checkToken(matcher.group(1), matcher.group(2), Integer.parseInt(matcher.group(3)));
    }
  }

  private void checkToken(String tokenNonce, String tokenGeneration, int index) {
    if (!tokenNonce.equals(nonce)) {
      violations.answersCrossed.incrementAndGet();
      return;
    }
    if (generation.isEmpty()) {
      generation = tokenGeneration;
    } else if (!generation.equals(tokenGeneration)) {
      violations.generationsSpliced.incrementAndGet();
      generation = tokenGeneration;
    }
    if (index == nextIndex) {
      nextIndex++;
    } else if (index < nextIndex) {
      violations.tokensRepeated.incrementAndGet();
    } else {
      violations.tokensOutOfOrder.incrementAndGet();
      nextIndex = index + 1;
    }
  }

  /** Counts the tokens that are missing from a response that was reported as complete. */
  public void checkCompleteness(int expectedTokens) {
    if (nextIndex < expectedTokens) {
      violations.tokensLost.addAndGet(expectedTokens - nextIndex);
    }
  }

  /** Returns the index that follows the last token received so far. */
  public int nextTokenIndex() {
    return nextIndex;
  }
}
