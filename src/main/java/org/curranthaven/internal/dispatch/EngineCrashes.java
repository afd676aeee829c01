package org.curranthaven.internal.dispatch;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.curranthaven.internal.dispatch.CrashEvidence.PartKey;

/**
 * Handles crashes of engines: takes a crashed engine out of use at once, and attributes the crash
 * to the parts of the prompts that it may have begun to output on. Not thread-safe.
 */
final class EngineCrashes {
  /**
   * Time for which a crashed engine stays out of use; longer than its registration lasts, so that
   * it is removed by then unless it runs.
   */
  static final long OUT_OF_USE_MILLIS = 8_000;

  /**
   * Time after the report of a crash from which on output shows that the engine runs: output from
   * before the crash may still be on its way until then.
   */
  private static final long IN_FLIGHT_MILLIS = 500;

  private final Backends backends;
  private final CrashEvidence evidence;

  EngineCrashes(Backends backends, CrashEvidence evidence) {
    this.backends = backends;
    this.evidence = evidence;
  }

  /** Handles the report of a crash; returns whether a part of prompts has become blocked. */
  boolean handleCrash(BackendState engine, long nowMillis) {
    if (engine.hasCrashed()) {
      return false;
    }
    engine.markCrashed(nowMillis);
    if (engine.hasAnnouncedLeaving()) {
      // Engines that leave end by themselves.
      return false;
    }
    Map<PartKey, Long> suspects = suspectsOf(engine);
    return !suspects.isEmpty() && evidence.recordCrash(engine.id(), suspects, nowMillis);
  }

  /**
   * Returns the parts of the requests that ran on the engine and had not continued to output,
   * without those on which another request continues to output; with the time at which the latest
   * request with the part was placed.
   */
  private Map<PartKey, Long> suspectsOf(BackendState engine) {
    Map<PartKey, Long> suspects = new LinkedHashMap<>();
    for (RunningRequest running : engine.requests.values()) {
      if (!running.migratingIn && !running.hasContinuedOutput()) {
        CrashEvidence.attributableParts(running.request)
            .forEach(key -> suspects.merge(key, running.placedAtMillis, Math::max));
      }
    }
    Set<PartKey> sound = new HashSet<>();
    for (BackendState backend : backends.all()) {
      for (RunningRequest running : backend.requests.values()) {
        if (running.hasContinuedOutput()) {
          sound.addAll(CrashEvidence.attributableParts(running.request));
        }
      }
    }
    suspects.keySet().removeAll(sound);
    return suspects;
  }

  /** Puts engines back into use whose registration has outlasted their crash. */
  void tick(long nowMillis) {
    for (BackendState engine : backends.all()) {
      if (engine.hasCrashed() && engine.millisSinceCrash(nowMillis) >= OUT_OF_USE_MILLIS) {
        engine.clearCrash();
      }
    }
  }

  /** Handles further output of a request. */
  void recordOutput(RunningRequest running, BackendState engine, long nowMillis) {
    if (engine.hasCrashed() && engine.millisSinceCrash(nowMillis) > IN_FLIGHT_MILLIS) {
      engine.clearCrash();
      evidence.removeCrash(engine.id());
    }
    if (running.hasContinuedOutput()) {
      evidence.recordOutput(running.request, nowMillis);
    }
  }

  /** Handles the end of a complete response. */
  void recordCompletion(RunningRequest running, int outputTokens, long nowMillis) {
    if (outputTokens > 0) {
      evidence.recordOutput(running.request, nowMillis);
    }
  }
}
