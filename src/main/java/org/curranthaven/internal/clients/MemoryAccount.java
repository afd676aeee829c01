package org.curranthaven.internal.clients;

/** Counts the bytes that a host holds for its clients, perhaps together with others. */
@FunctionalInterface
public interface MemoryAccount {
  /**
   * Adds bytes, or gives them back if negative.
   *
   * @return whether the bound of the account holds afterwards
   */
  boolean add(long bytes);

  /** Returns an account of its own with a bound in bytes. */
  static MemoryAccount of(long maxBytes) {
    long[] heldBytes = new long[1];
    return bytes -> {
      heldBytes[0] += bytes;
      return heldBytes[0] <= maxBytes;
    };
  }
}
