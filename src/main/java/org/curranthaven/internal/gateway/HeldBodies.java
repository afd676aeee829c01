package org.curranthaven.internal.gateway;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the bytes of the request bodies that a host holds for all callers together. Large bodies
 * leave a part of it to small ones. Thread-safe.
 */
public final class HeldBodies {
  /** Size up to which a body is small. */
  private static final int SMALL_BODY_BYTES = 64 * 1024;

  private static final double HEAP_PART = 0.25;

  /** Part of the bound that large bodies may fill. */
  private static final double LARGE_BODIES_PART = 0.75;

  private final long maxBytes;
  private final AtomicLong heldBytes = new AtomicLong();

  /** Creates an empty account with a bound in bytes. */
  public HeldBodies(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Creates an account whose bound follows from the heap of this process. */
  public static HeldBodies ofHeap() {
    return new HeldBodies((long) (Runtime.getRuntime().maxMemory() * HEAP_PART));
  }

  /**
   * Takes memory for the next part of a body.
   *
   * @param bytesBefore bytes of the body that are held already
   * @return whether there is room; nothing is taken if not
   */
  boolean take(int bytesBefore, int bytes) {
    boolean large = bytesBefore + bytes > SMALL_BODY_BYTES;
    long limitBytes = large ? (long) (maxBytes * LARGE_BODIES_PART) : maxBytes;
    if (heldBytes.addAndGet(bytes) <= limitBytes) {
      return true;
    }
    heldBytes.addAndGet(-bytes);
    return false;
  }

  /** Gives back the memory of a body. */
  void release(long bytes) {
    heldBytes.addAndGet(-bytes);
  }
}
