package org.curranthaven.internal.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.PlacementRequest;

/**
 * Handles crashes of backend servers: takes a crashed one out of use at once, and attributes the
 * crash to the requests that ran there and to the parts of the prompts that an engine may have
 * begun to output on. Not thread-safe.
 */
final class BackendCrashes {
  /**
   * Time for which a crashed backend server stays out of use; longer than its registration lasts,
   * so that it is removed by then unless it runs.
   */
  static final long OUT_OF_USE_MILLIS = 8_000;

  /**
   * Time after the report of a crash from which on output shows that the backend server runs:
   * output from before the crash may still be on its way until then.
   */
  private static final long IN_FLIGHT_MILLIS = 500;

  private final Backends backends;
  private final CrashEvidence evidence;
  private final LostGatewayRuns lostGatewayRuns = new LostGatewayRuns();

  BackendCrashes(Backends backends, CrashEvidence evidence) {
    this.backends = backends;
    this.evidence = evidence;
  }

  /** Handles the report of a crash; returns whether a suspect has become blocked. */
  boolean handleCrash(BackendState backend, long nowMillis) {
    if (backend.hasCrashed()) {
      return false;
    }
    backend.markCrashed(nowMillis);
    if (backend.hasAnnouncedLeaving()) {
      // Backend servers that leave end by themselves.
      return false;
    }
    Map<CrashSuspect, Long> suspects = suspectsOf(backend, nowMillis);
    return !suspects.isEmpty() && evidence.recordCrash(backend.id(), suspects, nowMillis);
  }

  /**
   * Handles a registration: a new backend server at the address of one that lost connections and
   * has not announced to leave shows that the earlier one crashed. Returns whether a suspect has
   * become blocked.
   */
  boolean handleRegistration(BackendRecord registration, long nowMillis) {
    if (backends.get(registration.getId()) != null) {
      return false;
    }
    boolean blocked = false;
    for (BackendState earlier : backends.all()) {
      if (earlier.registration().getAddress().equals(registration.getAddress())
          && !earlier.hasAnnouncedLeaving()
          && !earlier.recentlyLost(nowMillis).isEmpty()) {
        blocked |= handleCrash(earlier, nowMillis);
      }
    }
    return blocked;
  }

  /**
   * Returns the requests that ran on the backend server or have just lost their connection to it,
   * and the parts of those that had not continued to output, without parts on which another request
   * continues to output; with the time at which the latest request with the suspect was placed.
   */
  private Map<CrashSuspect, Long> suspectsOf(BackendState backend, long nowMillis) {
    Map<CrashSuspect, Long> suspects = new LinkedHashMap<>();
    List<RunningRequest> present = new ArrayList<>(backend.requests.values());
    present.addAll(backend.recentlyLost(nowMillis));
    for (RunningRequest running : present) {
      if (!running.migratingIn && !running.hasContinuedOutput()) {
        CrashSuspect.partsOf(running.request)
            .forEach(part -> suspects.merge(part, running.placedAtMillis, Math::max));
      }
    }
    suspects.keySet().removeAll(soundParts());
    for (RunningRequest running : present) {
      if (!running.migratingIn && running.request.getFingerprint() != 0) {
        suspects.merge(CrashSuspect.requestOf(running.request), running.placedAtMillis, Math::max);
      }
    }
    return suspects;
  }

  private Set<CrashSuspect> soundParts() {
    Set<CrashSuspect> sound = new HashSet<>();
    for (BackendState backend : backends.all()) {
      for (RunningRequest running : backend.requests.values()) {
        if (running.hasContinuedOutput()) {
          sound.addAll(CrashSuspect.partsOf(running.request));
        }
      }
    }
    return sound;
  }

  /** Puts backend servers back into use whose registration has outlasted their crash. */
  void tick(long nowMillis) {
    for (BackendState backend : backends.all()) {
      if (backend.hasCrashed() && backend.millisSinceCrash(nowMillis) >= OUT_OF_USE_MILLIS) {
        backend.clearCrash();
      }
    }
  }

  /** Handles further output of a request. */
  void recordOutput(RunningRequest running, BackendState backend, long nowMillis) {
    if (backend.hasCrashed() && backend.millisSinceCrash(nowMillis) > IN_FLIGHT_MILLIS) {
      backend.clearCrash();
      evidence.removeCrash(backend.id());
    }
    if (running.hasContinuedOutput()) {
      evidence.recordOutput(running.request, nowMillis);
    }
  }

  /** Handles the end of a complete response. */
  void recordCompletion(RunningRequest running, int outputTokens, long nowMillis) {
    evidence.recordCompletion(running.request, nowMillis);
    if (outputTokens > 0) {
      evidence.recordOutput(running.request, nowMillis);
    }
  }

  /**
   * Returns whether the request is a suspect that runs already, or may run through another gateway:
   * it may run on one backend server at a time, so that no more than necessary crash until the
   * verdict.
   */
  boolean isHeld(RequestId requestId, PlacementRequest request, long nowMillis) {
    if (!evidence.isSuspect(request)) {
      return false;
    }
    CrashSuspect.Request suspect = CrashSuspect.requestOf(request);
    return !evidence.knowsAllRuns()
        || backends.isRunning(suspect, requestId)
        || lostGatewayRuns.mayRun(suspect, nowMillis);
  }

  /** Handles the loss of a gateway whose requests are still known: they may go on. */
  void gatewayLost(String gateway, long nowMillis) {
    lostGatewayRuns.removeExpired(nowMillis);
    for (BackendState backend : backends.all()) {
      for (RunningRequest running : backend.requests.values()) {
        if (running.id.gateway().equals(gateway)) {
          lostGatewayRuns.add(running);
        }
      }
    }
  }

  /** Handles the report of a gateway that tells all that it runs. */
  void gatewayReported(String gateway) {
    lostGatewayRuns.removeGateway(gateway);
  }
}
