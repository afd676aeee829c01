package org.curranthaven.internal.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.curranthaven.internal.transport.wire.PlacementRequest;
import org.curranthaven.internal.transport.wire.SuspectRecord;

/**
 * Counts crashes of backend servers by what may explain them, and blocks a suspect that explains
 * several: a part of prompts, since requests that crash engines may have one part in common and
 * nothing else, or a request that comes again; both from any gateway. Output that continues on a
 * part clears it, and a complete response clears its request. Not thread-safe.
 *
 * <pre>{@code
 * boolean blocked = evidence.recordCrash(backendId, suspects, now);
 * if (evidence.blockedMillis(request, now) > 0) {
 *   reject(request);
 * }
 * }</pre>
 */
public final class CrashEvidence {
  /**
   * Crashes that block a suspect. Three backend servers that crash under it, with none that serves
   * it in between, are unlikely to be a coincidence.
   */
  static final int CRASHES_TO_BLOCK = 3;

  /**
   * Time within which crashes count as one, unless a request with the suspect was placed in
   * between: a rack or data centre that is lost takes several backend servers with one cause.
   */
  public static final long SAME_CAUSE_MILLIS = 100;

  /** How long a suspect stays blocked the first time; doubles with each further time. */
  static final long FIRST_BLOCK_MILLIS = 600_000;

  /** How long a crash counts, and a cleared suspect is remembered as cleared. */
  static final long CRASH_RETENTION_MILLIS = 600_000;

  /** How long a suspect that is no longer blocked is blocked again by a single crash. */
  static final long PROBATION_MILLIS = 7_200_000;

  /**
   * Suspects remembered at most; those that are blocked stay longest. Several times as many as run
   * on the engines that crash until a verdict.
   */
  static final int MAX_SUSPECTS = 1_024;

  private final Map<CrashSuspect, SuspectHistory> histories = new HashMap<>();
  private boolean knowsAllRuns = true;
  private long version;

  /** Suspects that were examined because others became blocked. */
  private long examinedSuspects;

  /**
   * Returns a number that increases when a crash is recorded, or a suspect is blocked or cleared.
   */
  public long version() {
    return version;
  }

  /**
   * Sets whether this host knows of all requests that run: a scheduler does, and the only gateway.
   * Other gateways cannot tell whether a suspect runs elsewhere.
   */
  public void setKnowsAllRuns(boolean knowsAll) {
    knowsAllRuns = knowsAll;
  }

  boolean knowsAllRuns() {
    return knowsAllRuns;
  }

  // ---- events -----------------------------------------------------------------------------------

  /**
   * Records the crash of a backend server.
   *
   * @param suspects what ran there and may explain it; with the time at which the latest request
   *     with the suspect was placed there
   * @return whether a suspect has become blocked
   */
  boolean recordCrash(String backend, Map<? extends CrashSuspect, Long> suspects, long nowMillis) {
    expire(nowMillis);
    boolean explained =
        suspects.keySet().stream()
            .map(histories::get)
            .anyMatch(history -> history != null && history.isBlocked(nowMillis));
    if (explained) {
      return false;
    }
    version++;
    suspects.forEach(
        (suspect, placedAtMillis) ->
            historyOf(suspect, nowMillis).recordCrash(backend, placedAtMillis, nowMillis));
    return blockMostSuspicious(suspects.keySet(), nowMillis);
  }

  private SuspectHistory historyOf(CrashSuspect suspect, long nowMillis) {
    SuspectHistory existing = histories.get(suspect);
    if (existing == null && histories.size() >= MAX_SUSPECTS) {
      histories.entrySet().stream()
          .min(
              Comparator.comparingInt(
                      (Map.Entry<CrashSuspect, SuspectHistory> entry) -> entry.getValue().blocks())
                  .thenComparingInt(entry -> entry.getValue().crashes())
                  .thenComparingLong(entry -> entry.getValue().changedAtMillis()))
          .ifPresent(entry -> histories.remove(entry.getKey()));
    }
    SuspectHistory history =
        existing == null
            ? histories.computeIfAbsent(suspect, key -> new SuspectHistory())
            : existing;
    history.recordChange(version, nowMillis);
    return history;
  }

  /**
   * Blocks those of the suspects that explain enough crashes, and the most of all. Of several, a
   * request goes before a part, since blocking it rejects nothing else; then those that the fewest
   * requests have, since what many share meets crashes by chance. The crashes that they explain no
   * longer count against others.
   */
  private boolean blockMostSuspicious(Collection<? extends CrashSuspect> suspects, long nowMillis) {
    // Of many suspects, the first ones may have been forgotten already.
    List<? extends CrashSuspect> suspicious =
        suspects.stream()
            .filter(suspect -> histories.containsKey(suspect))
            .filter(suspect -> knownHistory(suspect).mayBeBlocked())
            .toList();
    int mostCrashes =
        suspicious.stream().mapToInt(suspect -> knownHistory(suspect).crashes()).max().orElse(0);
    if (mostCrashes == 0) {
      return false;
    }
    List<? extends CrashSuspect> mostSuspicious =
        suspicious.stream()
            .filter(suspect -> knownHistory(suspect).crashes() == mostCrashes)
            .toList();
    boolean anyRequest =
        mostSuspicious.stream().anyMatch(suspect -> suspect instanceof CrashSuspect.Request);
    List<SuspectHistory> narrowest =
        mostSuspicious.stream()
            .filter(suspect -> !anyRequest || suspect instanceof CrashSuspect.Request)
            .map(this::knownHistory)
            .toList();
    int fewestRequests = narrowest.stream().mapToInt(SuspectHistory::requests).min().orElse(0);
    List<SuspectHistory> blocked =
        narrowest.stream().filter(history -> history.requests() == fewestRequests).toList();
    block(blocked, nowMillis);
    return true;
  }

  private SuspectHistory knownHistory(CrashSuspect suspect) {
    return Objects.requireNonNull(histories.get(suspect));
  }

  /** Blocks suspects; the crashes that they explain no longer count against the others. */
  private void block(List<SuspectHistory> blocked, long nowMillis) {
    Set<String> explainedBackends = new HashSet<>();
    Set<SuspectHistory> blockedOnes = new HashSet<>(blocked);
    for (SuspectHistory history : blocked) {
      explainedBackends.addAll(history.crashedBackends());
      history.block(nowMillis);
    }
    for (SuspectHistory other : histories.values()) {
      examinedSuspects++;
      if (!blockedOnes.contains(other)) {
        other.removeCrashes(explainedBackends);
      }
    }
  }

  /** Returns the number of suspects that were examined because others became blocked. */
  long examinedSuspects() {
    return examinedSuspects;
  }

  /** Counts a request that is to be placed. */
  void recordRequest(PlacementRequest request) {
    if (histories.isEmpty()) {
      return;
    }
    for (CrashSuspect suspect : CrashSuspect.of(request)) {
      SuspectHistory history = histories.get(suspect);
      if (history != null) {
        history.recordRequest();
      }
    }
  }

  /** Records that output continued on a request's prompt: no part of it crashes engines. */
  void recordOutput(PlacementRequest request, long nowMillis) {
    if (!histories.isEmpty()) {
      CrashSuspect.partsOf(request).forEach(part -> recordServed(part, nowMillis));
    }
  }

  /**
   * Records a complete response: its request crashes no backend server. Output alone does not show
   * that, since some crash after their first output.
   */
  void recordCompletion(PlacementRequest request, long nowMillis) {
    if (!histories.isEmpty()) {
      recordServed(CrashSuspect.requestOf(request), nowMillis);
    }
  }

  private void recordServed(CrashSuspect suspect, long nowMillis) {
    SuspectHistory history = histories.get(suspect);
    if (history == null) {
      return;
    }
    if (history.isSuspicious()) {
      version++;
      history.recordChange(version, history.changedAtMillis());
    }
    history.recordServed(nowMillis);
  }

  /** Removes the crash of a backend server that turned out to run. */
  void removeCrash(String backend) {
    for (SuspectHistory history : histories.values()) {
      if (history.removeCrash(backend)) {
        version++;
        history.recordChange(version, history.changedAtMillis());
      }
    }
  }

  private void expire(long nowMillis) {
    histories.values().removeIf(history -> history.expire(nowMillis));
  }

  // ---- queries ----------------------------------------------------------------------------------

  /**
   * Returns how long the request is still blocked, for itself or for a part of its prompt; 0 if it
   * is not.
   */
  public long blockedMillis(PlacementRequest request, long nowMillis) {
    if (histories.isEmpty()) {
      return 0;
    }
    return CrashSuspect.of(request).stream()
        .map(histories::get)
        .filter(Objects::nonNull)
        .mapToLong(history -> history.blockedLeftMillis(nowMillis))
        .max()
        .orElse(0);
  }

  /** Returns whether a backend server crashed under the request, and none has served it since. */
  boolean isSuspect(PlacementRequest request) {
    SuspectHistory history =
        histories.isEmpty() ? null : histories.get(CrashSuspect.requestOf(request));
    return history != null && history.isSuspicious();
  }

  /** Returns the ids of the blocked parts. */
  public List<String> blockedParts(long nowMillis) {
    return histories.entrySet().stream()
        .filter(entry -> entry.getValue().isBlocked(nowMillis))
        .map(Map.Entry::getKey)
        .filter(CrashSuspect.Part.class::isInstance)
        .map(suspect -> ((CrashSuspect.Part) suspect).part())
        .sorted()
        .toList();
  }

  /** Returns the fingerprints of the blocked requests, in hexadecimal. */
  public List<String> blockedRequests(long nowMillis) {
    return histories.entrySet().stream()
        .filter(entry -> entry.getValue().isBlocked(nowMillis))
        .map(Map.Entry::getKey)
        .filter(CrashSuspect.Request.class::isInstance)
        .map(suspect -> Long.toHexString(((CrashSuspect.Request) suspect).fingerprint()))
        .sorted()
        .toList();
  }

  // ---- exchange between hosts -------------------------------------------------------------------

  /** Returns all that is known, with times as ages. */
  public List<SuspectRecord> export(long nowMillis) {
    return exportSince(Long.MIN_VALUE, nowMillis);
  }

  /** Returns what has changed since an earlier {@link #version}, with times as ages. */
  public List<SuspectRecord> exportSince(long earlierVersion, long nowMillis) {
    expire(nowMillis);
    return histories.entrySet().stream()
        .filter(entry -> entry.getValue().changedVersion() > earlierVersion)
        .map(entry -> entry.getValue().export(entry.getKey(), nowMillis))
        .toList();
  }

  /** Adds what another host knows. */
  public void merge(Collection<SuspectRecord> others, long nowMillis) {
    version += others.isEmpty() ? 0 : 1;
    for (SuspectRecord other : others) {
      historyOf(SuspectHistory.suspectOf(other), nowMillis).merge(other, nowMillis);
    }
  }
}
