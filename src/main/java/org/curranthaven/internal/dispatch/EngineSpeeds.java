package org.curranthaven.internal.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how fast the engines of each service are under their load: the time per output token and
 * the time per prompt token. Not thread-safe.
 */
final class EngineSpeeds {
  /** Time per output token until one has been observed. */
  private static final double START_MILLIS_PER_OUTPUT_TOKEN = 10;

  /** Time per prompt token until one has been observed. */
  private static final double START_MILLIS_PER_PROMPT_TOKEN = 0.16;

  private static final double LATEST_OUTPUT_WEIGHT = 0.02;
  private static final double LATEST_ENGINE_OUTPUT_WEIGHT = 0.05;
  private static final double LATEST_PROMPT_WEIGHT = 0.05;

  private final boolean learning;
  private final Map<String, LearntAverage> outputByService = new HashMap<>();
  private final Map<String, LearntAverage> promptByService = new HashMap<>();

  /**
   * Creates speeds with start values.
   *
   * @param learning whether observations change them
   */
  EngineSpeeds(boolean learning) {
    this.learning = learning;
  }

  /** Records output that a running request produced on the engine. */
  void recordOutput(BackendState engine, int tokens, long elapsedMillis) {
    if (learning && tokens > 0 && elapsedMillis > 0) {
      double millisPerToken = (double) elapsedMillis / tokens;
      LearntAverage ofService = output(engine.service());
      ofService.record(millisPerToken);
      LearntAverage ofEngine = engine.millisPerOutputToken;
      if (ofEngine == null) {
        ofEngine = new LearntAverage(ofService.value(), LATEST_ENGINE_OUTPUT_WEIGHT);
        engine.millisPerOutputToken = ofEngine;
      }
      ofEngine.record(millisPerToken);
    }
  }

  /**
   * Returns by how much longer the engine takes for an output token than the service's engines on
   * average, as a share of the average; negative for a faster one, 0 if unknown.
   */
  double relativeSlowness(BackendState engine) {
    LearntAverage ofEngine = engine.millisPerOutputToken;
    return ofEngine == null ? 0 : ofEngine.value() / output(engine.service()).value() - 1;
  }

  /** Records the prompt tokens that an engine processed up to a request's first output. */
  void recordPrompts(String service, int tokens, long elapsedMillis) {
    if (learning && tokens > 0 && elapsedMillis > 0) {
      prompt(service).record((double) elapsedMillis / tokens);
    }
  }

  /** Returns the forecast time for the rest of the request's output. */
  double remainingOutputMillis(RunningRequest running) {
    return running.remainingTokens() * millisPerOutputToken(running.request.getService());
  }

  double millisPerOutputToken(String service) {
    return output(service).value();
  }

  double millisPerPromptToken(String service) {
    return prompt(service).value();
  }

  private LearntAverage output(String service) {
    return outputByService.computeIfAbsent(
        service, name -> new LearntAverage(START_MILLIS_PER_OUTPUT_TOKEN, LATEST_OUTPUT_WEIGHT));
  }

  private LearntAverage prompt(String service) {
    return promptByService.computeIfAbsent(
        service, name -> new LearntAverage(START_MILLIS_PER_PROMPT_TOKEN, LATEST_PROMPT_WEIGHT));
  }
}
