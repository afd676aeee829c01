package org.curranthaven.internal.relay;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;

/**
 * Bounds the bytes of the bodies that a gateway holds for all connections together. A small body
 * never waits; a large one waits in order until those before it have ended, for at most a part of
 * its request's time. Confined to the event loop; takes the present time as an argument.
 *
 * <pre>{@code
 * BodyMemory.Reservation reservation = memory.reserve(Use.REQUEST, bytes, now, timeLeft, action);
 * if (!reservation.isGranted() && memory.giveUp(reservation, later)) {
 *   reject();
 * }
 * memory.release(reservation);
 * }</pre>
 */
final class BodyMemory {
  /** Size up to which a body is small. */
  static final int SMALL_BODY_BYTES = 64 * 1024;

  /** Part of the heap that bodies may take; the rest is for everything else and for copies. */
  private static final double HEAP_PART = 0.625;

  /** Parts of the bound that large bodies may take, so that the others never find it used up. */
  private static final double LARGE_REQUESTS_PART = 0.6;

  private static final double LARGE_BODIES_PART = 0.9;

  /** Part of the time left in which a large body may wait, so that enough is left to run. */
  private static final double WAIT_PART = 0.25;

  private final long maxBytes;
  private final Map<Use, ArrayDeque<Reservation>> waiting = new EnumMap<>(Use.class);
  private final Map<Use, Long> largeBytes = new EnumMap<>(Use.class);
  private long heldBytes;

  /** What a body belongs to. */
  enum Use {
    REQUEST,
    RESPONSE
  }

  /** Memory of one body. */
  static final class Reservation {
    private final Use use;
    private final boolean large;
    private final long giveUpAtMillis;
    private final Runnable onGranted;
    private int bytes;
    private boolean granted;

    private Reservation(
        Use use, int bytes, boolean large, long giveUpAtMillis, Runnable onGranted) {
      this.use = use;
      this.bytes = bytes;
      this.large = large;
      this.giveUpAtMillis = giveUpAtMillis;
      this.onGranted = onGranted;
    }

    boolean isGranted() {
      return granted;
    }

    /** Returns when it is to be given up if it has not been granted. */
    long giveUpAtMillis() {
      return giveUpAtMillis;
    }
  }

  /**
   * Creates an account with a bound.
   *
   * @param maxBytes bound on all bodies together
   */
  BodyMemory(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Creates an account with the bound of the settings, or one that follows from the heap. */
  static BodyMemory of(long settingsBytes, long heapBytes) {
    return new BodyMemory(settingsBytes > 0 ? settingsBytes : (long) (heapBytes * HEAP_PART));
  }

  /** Returns the bytes that all bodies hold. */
  long heldBytes() {
    return heldBytes;
  }

  /** Returns the bound on all bodies together. */
  long maxBytes() {
    return maxBytes;
  }

  /**
   * Counts what connections hold besides bodies, or gives it back if negative.
   *
   * @return whether the bound holds afterwards
   */
  boolean addClientBytes(long bytes) {
    heldBytes += bytes;
    if (bytes < 0) {
      grantWaiting();
    }
    return heldBytes <= maxBytes;
  }

  /** Returns whether a body of this size has room once no other is held. */
  boolean canEverHold(Use use, int bytes) {
    return bytes <= SMALL_BODY_BYTES || bytes <= largeLimit(use);
  }

  /**
   * Reserves memory for a large body, or has it wait for that. The action runs once a body that had
   * to wait has its memory.
   */
  Reservation reserve(Use use, int bytes, long nowMillis, long timeLeftMillis, Runnable onGranted) {
    long giveUpAtMillis = nowMillis + (long) (Math.max(0, timeLeftMillis) * WAIT_PART);
    Reservation reservation = new Reservation(use, bytes, true, giveUpAtMillis, onGranted);
    if (waitingOf(use).isEmpty() && fits(reservation)) {
      grant(reservation);
    } else {
      waitingOf(use).add(reservation);
    }
    return reservation;
  }

  /** Counts a small body, which does not wait; it is not granted if all memory is in use. */
  Reservation hold(Use use, int bytes) {
    Reservation reservation = new Reservation(use, bytes, false, Long.MAX_VALUE, () -> {});
    if (heldBytes + bytes <= maxBytes) {
      grant(reservation);
    }
    return reservation;
  }

  /** Returns whether a body has waited for too long; it waits no longer then. */
  boolean giveUp(Reservation reservation, long nowMillis) {
    if (reservation.granted || nowMillis < reservation.giveUpAtMillis) {
      return false;
    }
    release(reservation);
    return true;
  }

  /** Gives back what a body does not need of its memory. */
  void shrink(Reservation reservation, int bytes) {
    if (bytes < reservation.bytes) {
      if (reservation.granted) {
        add(reservation, bytes - reservation.bytes);
      }
      reservation.bytes = bytes;
      grantWaiting();
    }
  }

  /** Gives the memory of a body back, or ends its wait. */
  void release(Reservation reservation) {
    if (reservation.granted) {
      add(reservation, -reservation.bytes);
      reservation.bytes = 0;
      reservation.granted = false;
    } else {
      waitingOf(reservation.use).remove(reservation);
    }
    grantWaiting();
  }

  private void grantWaiting() {
    for (Use use : Use.values()) {
      Reservation first = waitingOf(use).peek();
      while (first != null && fits(first)) {
        waitingOf(use).remove();
        grant(first);
        first.onGranted.run();
        first = waitingOf(use).peek();
      }
    }
  }

  private void grant(Reservation reservation) {
    reservation.granted = true;
    add(reservation, reservation.bytes);
  }

  private void add(Reservation reservation, int bytes) {
    heldBytes += bytes;
    if (reservation.large) {
      largeBytes.merge(reservation.use, (long) bytes, Long::sum);
    }
  }

  private boolean fits(Reservation reservation) {
    long allLargeBytes = largeBytesOf(Use.REQUEST) + largeBytesOf(Use.RESPONSE);
    return largeBytesOf(reservation.use) + reservation.bytes <= largeLimit(reservation.use)
        && allLargeBytes + reservation.bytes <= largeLimit(Use.RESPONSE)
        && heldBytes + reservation.bytes <= maxBytes;
  }

  private long largeLimit(Use use) {
    return (long) (maxBytes * (use == Use.REQUEST ? LARGE_REQUESTS_PART : LARGE_BODIES_PART));
  }

  private long largeBytesOf(Use use) {
    return largeBytes.getOrDefault(use, 0L);
  }

  private ArrayDeque<Reservation> waitingOf(Use use) {
    return waiting.computeIfAbsent(use, unused -> new ArrayDeque<>());
  }
}
