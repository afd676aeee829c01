package org.curranthaven.internal.relay;

import java.util.HashSet;
import java.util.Set;

/**
 * Memory of the responses to one request. Small ones, and events that are not complete, share the
 * bound of {@link ResponseBuffers}; a large one has its memory reserved in {@link BodyMemory}
 * before it is read, and keeps it until the caller has the response. Confined to the event loop.
 */
final class ResponseMemory {
  private final ResponseBuffers buffers;
  private final BodyMemory bodyMemory;
  private final Set<BodyMemory.Reservation> reservations = new HashSet<>();

  ResponseMemory(ResponseBuffers buffers, BodyMemory bodyMemory) {
    this.buffers = buffers;
    this.bodyMemory = bodyMemory;
  }

  /** Updates the bytes that an attempt holds without a reservation. */
  void update(ResponseBuffers.Holder holder, int bytes) {
    buffers.update(holder, bytes);
  }

  /** Returns whether a response of this size can be held at all. */
  boolean canEverHold(int bytes) {
    return bodyMemory.canEverHold(BodyMemory.Use.RESPONSE, bytes);
  }

  /** Reserves memory for a large response; the deadline of its request ends its wait. */
  BodyMemory.Reservation reserve(int bytes, Runnable onGranted) {
    BodyMemory.Reservation reservation =
        bodyMemory.reserve(BodyMemory.Use.RESPONSE, bytes, 0, Integer.MAX_VALUE, onGranted);
    reservations.add(reservation);
    return reservation;
  }

  void shrink(BodyMemory.Reservation reservation, int bytes) {
    bodyMemory.shrink(reservation, bytes);
  }

  void release(BodyMemory.Reservation reservation) {
    if (reservations.remove(reservation)) {
      bodyMemory.release(reservation);
    }
  }

  /** Gives back the memory of all responses to the request. */
  void releaseAll() {
    Set<BodyMemory.Reservation> all = Set.copyOf(reservations);
    reservations.clear();
    all.forEach(bodyMemory::release);
  }
}
