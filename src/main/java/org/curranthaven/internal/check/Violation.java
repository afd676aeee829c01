package org.curranthaven.internal.check;

/** An invariant that did not hold. */
public final class Violation extends RuntimeException {
  private static final long serialVersionUID = 1;

  /** Creates a violation; the message names the invariant and what was seen. */
  public Violation(String message) {
    super(message);
  }
}
