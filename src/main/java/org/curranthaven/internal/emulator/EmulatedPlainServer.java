package org.curranthaven.internal.emulator;

import java.util.ArrayDeque;
import java.util.SplittableRandom;

/** A plain backend server: runs a few requests at once and queues the others. Not thread-safe. */
final class EmulatedPlainServer {
  /** Receives requests that ended. */
  @FunctionalInterface
  interface EndListener {
    void onEnded(EmulatedPlainServer server, SimulatedRequest request, boolean succeeded);
  }

  private final String id;
  private final String dataCentre;
  private final Deployment.PlainServers options;
  private final double slowdown;
  private final NoisePhases noise;
  private final EventQueue events;
  private final SplittableRandom random;
  private final EndListener onEnded;
  private final ArrayDeque<SimulatedRequest> waiting = new ArrayDeque<>();
  private int running;

  /**
   * Creates an idle server.
   *
   * @param slowdown factor on the duration of requests
   * @param noise when its machine is slow
   * @param onEnded receives each request that ended and whether it succeeded
   */
  EmulatedPlainServer(
      String id,
      String dataCentre,
      Deployment.PlainServers options,
      double slowdown,
      NoisePhases noise,
      EventQueue events,
      SplittableRandom random,
      EndListener onEnded) {
    this.id = id;
    this.dataCentre = dataCentre;
    this.options = options;
    this.slowdown = slowdown;
    this.noise = noise;
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
      double factor = slowdown * options.loadFactor(running) * noise.factor(id, events.nowMillis());
      long workMicros = (long) (Arrival.draw(work, random) * EventQueue.MICROS_PER_MILLI * factor);
      boolean failed = random.nextDouble() < options.failureShare();
      events.scheduleAt(events.nowMicros() + workMicros, () -> end(request, !failed));
    }
  }

  private void end(SimulatedRequest request, boolean succeeded) {
    running--;
    startWaiting();
    onEnded.onEnded(this, request, succeeded);
  }
}
