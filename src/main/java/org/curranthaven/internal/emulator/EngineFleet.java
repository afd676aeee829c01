package org.curranthaven.internal.emulator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import org.curranthaven.internal.standin.EngineEvent;
import org.curranthaven.internal.standin.EngineModel;
import org.curranthaven.internal.standin.EngineOptions;
import org.jspecify.annotations.Nullable;

/** The engines of an emulated deployment, those that were replaced included. Not thread-safe. */
final class EngineFleet {
  private static final double MICROS_PER_MILLI = 1_000;

  private final Deployment deployment;
  private final EventQueue events;
  private final SplittableRandom random;
  private final BiConsumer<EmulatedEngine, EngineEvent> listener;
  private final Map<String, EmulatedEngine> engines = new LinkedHashMap<>();
  private final Map<String, Double> slowdowns = new HashMap<>();
  private final Set<String> leaving = new HashSet<>();
  private int nextNumber;

  EngineFleet(
      Deployment deployment,
      EventQueue events,
      SplittableRandom random,
      BiConsumer<EmulatedEngine, EngineEvent> listener) {
    this.deployment = deployment;
    this.events = events;
    this.random = random;
    this.listener = listener;
  }

  void startAll() {
    Deployment.Engines options = deployment.engines();
    for (int i = 0; i < options.count(); i++) {
      String dataCentre = deployment.dataCentres().get(i % deployment.dataCentres().size());
      int turn = i / deployment.dataCentres().size();
      start(dataCentre, options.slowdowns().get(turn % options.slowdowns().size()));
    }
  }

  private EmulatedEngine start(String dataCentre, double slowdown) {
    String id = "engine-" + nextNumber++;
    EmulatedEngine engine =
        new EmulatedEngine(
            id, dataCentre, new EngineModel(modelOptions(slowdown)), events, listener);
    engines.put(id, engine);
    slowdowns.put(id, slowdown);
    return engine;
  }

  private EngineOptions modelOptions(double slowdown) {
    Deployment.Engines options = deployment.engines();
    return new EngineOptions(
            options.memoryTokens() / EngineModel.TOKENS_PER_BLOCK,
            options.slots(),
            options.stepMicros(),
            options.stepMicrosPerRequest(),
            Math.round(MICROS_PER_MILLI / options.promptTokensPerMilli()),
            options.promptTokensPerStep(),
            1,
            0,
            true)
        .slowedBy(slowdown);
  }

  /** Starts an empty engine in place of one that was taken away or crashed. */
  EmulatedEngine startReplacement(EmulatedEngine replaced) {
    return start(replaced.dataCentre(), slowdowns.getOrDefault(replaced.id(), 1.0));
  }

  /** Returns the engine, or null if it is unknown or has stopped. */
  @Nullable EmulatedEngine alive(String id) {
    EmulatedEngine engine = engines.get(id);
    return engine != null && engine.isAlive() ? engine : null;
  }

  /** Returns the engines that run and are not leaving. */
  List<EmulatedEngine> ready() {
    return engines.values().stream()
        .filter(engine -> engine.isAlive() && !leaving.contains(engine.id()))
        .toList();
  }

  /** Returns the ready engine with the least memory in use; null if there is none. */
  @Nullable EmulatedEngine leastUsed() {
    return ready().stream()
        .min(Comparator.comparingInt(engine -> engine.model().blocksUsed()))
        .orElse(null);
  }

  /** Chooses ready engines at random. */
  List<EmulatedEngine> chooseReady(int count) {
    List<EmulatedEngine> candidates = new ArrayList<>(ready());
    List<EmulatedEngine> chosen = new ArrayList<>();
    while (chosen.size() < count && !candidates.isEmpty()) {
      chosen.add(candidates.remove(random.nextInt(candidates.size())));
    }
    return chosen;
  }

  void markLeaving(EmulatedEngine engine) {
    leaving.add(engine.id());
  }

  void stop(EmulatedEngine engine) {
    leaving.add(engine.id());
    engine.stop();
  }
}
