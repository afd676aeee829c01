package org.curranthaven.internal.emulator;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.curranthaven.internal.standin.EngineEvent;
import org.curranthaven.internal.standin.EngineModel;
import org.jspecify.annotations.Nullable;

/**
 * An engine of an emulated deployment: runs an {@link EngineModel} on the event queue. Not
 * thread-safe.
 */
final class EmulatedEngine {
  private final String id;
  private final String dataCentre;
  private final EngineModel model;
  private final EventQueue events;
  private final BiConsumer<EmulatedEngine, EngineEvent> listener;
  private final Map<String, SimulatedRequest> requests = new LinkedHashMap<>();
  private long wakeAtMicros = Long.MAX_VALUE;
  private boolean alive = true;

  EmulatedEngine(
      String id,
      String dataCentre,
      EngineModel model,
      EventQueue events,
      BiConsumer<EmulatedEngine, EngineEvent> listener) {
    this.id = id;
    this.dataCentre = dataCentre;
    this.model = model;
    this.events = events;
    this.listener = listener;
  }

  String id() {
    return id;
  }

  String dataCentre() {
    return dataCentre;
  }

  EngineModel model() {
    return model;
  }

  boolean isAlive() {
    return alive;
  }

  List<SimulatedRequest> requests() {
    return List.copyOf(requests.values());
  }

  /**
   * Runs a request from its next token on.
   *
   * @param presentTokens tokens of its state that the engine holds already
   */
  void run(SimulatedRequest request, int presentTokens) {
    requests.put(request.generation(), request);
    model.submit(
        new EngineModel.EngineRequest(
            request.generation(),
            request.arrival().promptTokens(),
            request.arrival().outputTokens(),
            request.urgency,
            0,
            request.outputTokens(),
            presentTokens),
        events.nowMicros());
    scheduleWake();
  }

  /** Returns a request that runs on this engine, or null. */
  @Nullable SimulatedRequest request(String generation) {
    return requests.get(generation);
  }

  /** Removes a request that has ended. */
  void forget(SimulatedRequest request) {
    requests.remove(request.generation());
  }

  /** Stops a request. */
  void cancel(SimulatedRequest request) {
    requests.remove(request.generation());
    model.cancel(request.generation());
  }

  /** Stops the engine for good; its requests stay listed so that they can be handled. */
  void stop() {
    alive = false;
  }

  private void scheduleWake() {
    long nextMicros = model.nextEventMicros();
    if (nextMicros != Long.MAX_VALUE && nextMicros < wakeAtMicros) {
      wakeAtMicros = nextMicros;
      events.scheduleAt(nextMicros, this::wake);
    }
  }

  private void wake() {
    if (events.nowMicros() < wakeAtMicros) {
      return;
    }
    wakeAtMicros = Long.MAX_VALUE;
    if (alive) {
      model.advance(events.nowMicros()).forEach(event -> listener.accept(this, event));
      scheduleWake();
    }
  }
}
