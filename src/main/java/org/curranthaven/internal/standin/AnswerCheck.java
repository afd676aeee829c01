package org.curranthaven.internal.standin;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks the text of an answer token by token against the request that it should belong to. Not
 * thread-safe.
 */
public final class AnswerCheck {
  private static final Pattern TOKEN =
      Pattern.compile("([A-Za-z0-9-]+)\\.([A-Za-z0-9-]+)\\.(\\d+) ");

  private final PromiseTally tally;
  private final String nonce;
  private String generation = "";
  private int next;

  /** Creates the check of the answer to the request with the nonce. */
  public AnswerCheck(PromiseTally tally, String nonce) {
    this.tally = tally;
    this.nonce = nonce;
  }

  /** Takes in a piece of the answer, which holds whole tokens. */
  public void text(String piece) {
    Matcher matcher = TOKEN.matcher(piece);
    while (matcher.find()) {
      token(matcher.group(1), matcher.group(2), Integer.parseInt(matcher.group(3)));
    }
  }

  private void token(String tokenNonce, String tokenGeneration, int index) {
    if (!tokenNonce.equals(nonce)) {
      tally.answersCrossed.incrementAndGet();
      return;
    }
    if (generation.isEmpty()) {
      generation = tokenGeneration;
    } else if (!generation.equals(tokenGeneration)) {
      tally.generationsSpliced.incrementAndGet();
      generation = tokenGeneration;
    }
    if (index == next) {
      next++;
    } else if (index < next) {
      tally.tokensRepeated.incrementAndGet();
    } else {
      tally.tokensOutOfOrder.incrementAndGet();
      next = index + 1;
    }
  }

  /** Notes that the answer was said to be whole. */
  public void complete(int expectedTokens) {
    if (next < expectedTokens) {
      tally.tokensLost.addAndGet(expectedTokens - next);
    }
  }

  /** Returns the number of tokens taken in order. */
  public int tokens() {
    return next;
  }
}
