package org.curranthaven.internal.emulator;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Actions at simulated times; those of the same time run in the order in which they were scheduled.
 * Not thread-safe.
 */
final class EventQueue {
  static final long MICROS_PER_MILLI = 1_000;

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::sequenceNumber));
  private long nowMicros;
  private long nextSequenceNumber;

  private record Event(long atMicros, long sequenceNumber, Runnable action) {}

  long nowMicros() {
    return nowMicros;
  }

  long nowMillis() {
    return nowMicros / MICROS_PER_MILLI;
  }

  void scheduleAt(long atMicros, Runnable action) {
    events.add(new Event(Math.max(nowMicros, atMicros), nextSequenceNumber++, action));
  }

  void scheduleAfterMillis(long delayMillis, Runnable action) {
    scheduleAt(nowMicros + delayMillis * MICROS_PER_MILLI, action);
  }

  /** Runs all actions up to the given time. */
  void runUntil(long endMicros) {
    while (!events.isEmpty() && events.element().atMicros() <= endMicros) {
      Event event = events.remove();
      nowMicros = event.atMicros();
      event.action().run();
    }
  }
}
