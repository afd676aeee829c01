package org.curranthaven.internal.check;

/** Thrown when an invariant does not hold in a simulated run. */
public final class InvariantViolation extends RuntimeException {
  private static final long serialVersionUID = 1;

  /** Creates a violation; the message names the invariant and what was observed. */
  public InvariantViolation(String message) {
    super(message);
  }
}
