package org.curranthaven.internal.transport;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts what connections still have to write of large messages, which together stay below a bound
 * however slowly their readers are. Thread-safe.
 *
 * <pre>{@code
 * if (unwritten.reserve(bytes)) {
 *   channel.writeAndFlush(message).addListener(written -> unwritten.release(bytes));
 * }
 * }</pre>
 */
public final class UnwrittenBytes {
  private final long maxBytes;
  private final AtomicLong reservedBytes = new AtomicLong();
  private final AtomicLong refusals = new AtomicLong();

  /**
   * Creates a count of nothing.
   *
   * @param maxBytes most bytes at once; a single message may be larger
   */
  public UnwrittenBytes(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Reserves bytes if they fit; a message larger than the bound fits when nothing is reserved. */
  public boolean reserve(long bytes) {
    long before =
        reservedBytes.getAndUpdate(reserved -> fits(reserved, bytes) ? reserved + bytes : reserved);
    boolean reserved = fits(before, bytes);
    if (!reserved) {
      refusals.incrementAndGet();
    }
    return reserved;
  }

  private boolean fits(long reserved, long bytes) {
    return reserved == 0 || reserved + bytes <= maxBytes;
  }

  /** Gives back bytes that were written, or will never be. */
  public void release(long bytes) {
    reservedBytes.addAndGet(-bytes);
  }

  /** Returns the bytes that are reserved. */
  public long reservedBytes() {
    return reservedBytes.get();
  }

  /** Returns how often bytes did not fit. */
  public long refusals() {
    return refusals.get();
  }
}
