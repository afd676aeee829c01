package org.curranthaven.internal.relay;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the bytes of incomplete responses that a gateway holds for all attempts together. Faulty
 * backend servers may send bytes without end, also many of them at once. Confined to the event
 * loop.
 */
final class ResponseBuffers {
  /** A sixth of the heap of a gateway, since buffers double as they grow and are copied once. */
  static final int MAX_TOTAL_BYTES = 16 * 1024 * 1024;

  private final Map<Holder, Integer> bytesByHolder = new HashMap<>();
  private long totalBytes;

  /** An attempt that holds bytes of an incomplete response. */
  interface Holder {
    /** Discards the response, which holds more bytes than any other. */
    void discardBuffered(int bytes);
  }

  /** Returns the bytes that all attempts hold. */
  long totalBytes() {
    return totalBytes;
  }

  /** Updates the bytes that an attempt holds; discards the largest response beyond the limit. */
  void update(Holder holder, int bytes) {
    Integer before = bytes == 0 ? bytesByHolder.remove(holder) : bytesByHolder.put(holder, bytes);
    totalBytes += bytes - (before == null ? 0 : before);
    while (totalBytes > MAX_TOTAL_BYTES) {
      Holder largest = largest();
      int discardedBytes = bytesByHolder.getOrDefault(largest, 0);
      update(largest, 0);
      largest.discardBuffered(discardedBytes);
    }
  }

  private Holder largest() {
    return bytesByHolder.entrySet().stream()
        .max(Map.Entry.comparingByValue())
        .orElseThrow()
        .getKey();
  }
}
