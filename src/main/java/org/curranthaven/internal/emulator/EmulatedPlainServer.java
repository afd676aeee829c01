package org.curranthaven.internal.emulator;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;

/** A plain backend server: runs a few requests at once and queues the others. Not thread-safe. */
final class EmulatedPlainServer {
  private final String id;
  private final String dataCentre;
  private final Deployment.PlainServers options;
  private final EventQueue events;
  private final SplittableRandom random;
  private final BiConsumer<SimulatedRequest, Boolean> onEnded;
  private final ArrayDeque<SimulatedRequest> waiting = new ArrayDeque<>();
  private int running;

  /**
   * Creates an idle server.
   *
   * @param onEnded receives each request that ended and whether it succeeded
   */
  EmulatedPlainServer(
      String id,
      String dataCentre,
      Deployment.PlainServers options,
      EventQueue events,
      SplittableRandom random,
      BiConsumer<SimulatedRequest, Boolean> onEnded) {
    this.id = id;
    this.dataCentre = dataCentre;
    this.options = options;
    this.events = events;
    this.random = random;
    this.onEnded = onEnded;
  }

  String id() {
    return id;
  }

  String dataCentre() {
    return dataCentre;
  }

  void run(SimulatedRequest request) {
    waiting.add(request);
    startWaiting();
  }

  private void startWaiting() {
    while (running < options.slots() && !waiting.isEmpty()) {
      SimulatedRequest request = waiting.remove();
      running++;
      Deployment.Size work =
          new Deployment.Size(
              options.workMillis(), options.workSpread(), 10 * options.workMillis());
      long workMicros = (long) (Arrival.draw(work, random) * EventQueue.MICROS_PER_MILLI);
      boolean failed = random.nextDouble() < options.failureShare();
      events.scheduleAt(events.nowMicros() + workMicros, () -> end(request, !failed));
    }
  }

  private void end(SimulatedRequest request, boolean succeeded) {
    running--;
    startWaiting();
    onEnded.accept(request, succeeded);
  }
}
