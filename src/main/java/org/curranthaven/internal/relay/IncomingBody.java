package org.curranthaven.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * The body of one request or response while it is received, held once. A body that is or becomes
 * large needs memory for all that it may become before more of it is read. Confined to the event
 * loop.
 */
public final class IncomingBody {
  /** Bytes with which a body of unstated length begins. */
  private static final int FIRST_BYTES = 1_024;

  private final long declaredBytes;
  private final int maxBytes;
  private byte[] bytes = new byte[0];
  private int size;
  private BodyMemory.@Nullable Reservation reservation;

  /** Creates the empty body of a message. */
  public IncomingBody(HttpMessage head, int maxBytes) {
    this.declaredBytes = HttpUtil.getContentLength(head, -1L);
    this.maxBytes = maxBytes;
  }

  /** Returns whether the body exceeds the limit, or will, once so many bytes are added. */
  public boolean isTooLarge(int addedBytes) {
    return Math.max(declaredBytes, (long) size + addedBytes) > maxBytes;
  }

  /** Returns whether memory for the body is to be reserved, once so many bytes are added. */
  boolean needsMemory(int addedBytes) {
    return reservation == null
        && Math.max(declaredBytes, (long) size + addedBytes) > BodyMemory.SMALL_BODY_BYTES;
  }

  /** Returns the size that the body has in the end, or may have if it states none. */
  int finalBytes() {
    return declaredBytes >= 0 ? (int) Math.min(declaredBytes, maxBytes) : maxBytes;
  }

  void setReservation(BodyMemory.Reservation newReservation) {
    reservation = newReservation;
  }

  BodyMemory.@Nullable Reservation reservation() {
    return reservation;
  }

  /** Returns whether the body waits for memory, so that no more of it is to be read. */
  boolean isWaiting() {
    return reservation != null && !reservation.isGranted();
  }

  /** Returns the memory that the body holds without a reservation. */
  public int unreservedBytes() {
    return reservation == null ? bytes.length : 0;
  }

  /** Returns the bytes received so far. */
  int size() {
    return size;
  }

  /** Adds bytes that were received. */
  public void add(ByteBuf part) {
    int added = part.readableBytes();
    if (size + added > bytes.length) {
      bytes = Arrays.copyOf(bytes, capacityFor(size + added));
    }
    part.readBytes(bytes, size, added);
    size += added;
  }

  private int capacityFor(int neededBytes) {
    boolean granted = reservation != null && reservation.isGranted();
    if (declaredBytes >= 0 && (granted || declaredBytes <= BodyMemory.SMALL_BODY_BYTES)) {
      return Math.max(neededBytes, finalBytes());
    }
    return Math.max(neededBytes, Math.min(maxBytes, Math.max(FIRST_BYTES, 2 * bytes.length)));
  }

  /** Returns the complete body, and keeps nothing of it: timers may still refer to this object. */
  public byte[] complete() {
    byte[] complete = size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
    discard();
    return complete;
  }

  /** Keeps nothing of the body. */
  void discard() {
    bytes = new byte[0];
    size = 0;
  }
}
