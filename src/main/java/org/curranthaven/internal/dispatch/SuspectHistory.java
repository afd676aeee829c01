package org.curranthaven.internal.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.curranthaven.internal.transport.wire.BackendCrash;
import org.curranthaven.internal.transport.wire.SuspectRecord;

/** The crashes that one suspect may explain, its blocks, and when it was last served. */
final class SuspectHistory {
  /** Crashes that block a suspect again which was blocked before. */
  private static final int CRASHES_TO_BLOCK_AGAIN = 1;

  private static final int MAX_DOUBLINGS = 3;
  private static final long NEVER = Long.MIN_VALUE / 4;

  /** Time of each crash, by backend server. */
  private final Map<String, Long> crashMillis = new LinkedHashMap<>();

  /** Requests with the suspect that were to be placed since its first crash. */
  private int requests;

  private int blocks;
  private long blockedAtMillis = NEVER;
  private long blockedUntilMillis = NEVER;
  private long servedAtMillis = NEVER;
  private long changedAtMillis;

  /** Version of the evidence at the latest change that other hosts have to know. */
  private long changedVersion;

  void recordChange(long version, long nowMillis) {
    changedVersion = version;
    changedAtMillis = nowMillis;
  }

  long changedVersion() {
    return changedVersion;
  }

  long changedAtMillis() {
    return changedAtMillis;
  }

  int requests() {
    return requests;
  }

  int blocks() {
    return blocks;
  }

  int crashes() {
    return crashMillis.size();
  }

  Set<String> crashedBackends() {
    return Set.copyOf(crashMillis.keySet());
  }

  boolean isBlocked(long nowMillis) {
    return nowMillis < blockedUntilMillis;
  }

  long blockedLeftMillis(long nowMillis) {
    return Math.max(0, blockedUntilMillis - nowMillis);
  }

  /** Returns whether the suspect explains enough crashes to be blocked. */
  boolean mayBeBlocked() {
    return crashes() >= (blocks > 0 ? CRASHES_TO_BLOCK_AGAIN : CrashEvidence.CRASHES_TO_BLOCK);
  }

  /** Returns whether a crash or a block has not been followed by a sound run. */
  boolean isSuspicious() {
    return !crashMillis.isEmpty() || blocks > 0;
  }

  void recordRequest() {
    requests++;
  }

  /**
   * Records a crash under a request that was placed at the given time. Crashes at the same time
   * have one cause, unless the request came after the first. A crash from before the latest sound
   * run, of which this host hears late, shows nothing.
   */
  void recordCrash(String backend, long placedAtMillis, long crashedAtMillis) {
    if (crashedAtMillis <= servedAtMillis) {
      return;
    }
    boolean sameCause =
        crashMillis.values().stream()
            .anyMatch(
                other ->
                    Math.abs(other - crashedAtMillis) < CrashEvidence.SAME_CAUSE_MILLIS
                        && placedAtMillis < other);
    if (!sameCause) {
      crashMillis.putIfAbsent(backend, crashedAtMillis);
    }
  }

  /** Removes the crash of a backend server; returns whether it was counted. */
  boolean removeCrash(String backend) {
    return crashMillis.remove(backend) != null;
  }

  void removeCrashes(Set<String> backends) {
    crashMillis.keySet().removeAll(backends);
  }

  /** Blocks the suspect, for longer each time; its crashes are used up. */
  void block(long nowMillis) {
    blockedAtMillis = nowMillis;
    blockedUntilMillis =
        nowMillis + (CrashEvidence.FIRST_BLOCK_MILLIS << Math.min(blocks, MAX_DOUBLINGS));
    blocks++;
    crashMillis.clear();
  }

  /** Records that a backend server served the suspect, which clears it of all before. */
  void recordServed(long nowMillis) {
    servedAtMillis = nowMillis;
    clearUntilServed();
  }

  private void clearUntilServed() {
    crashMillis.values().removeIf(crashedAtMillis -> crashedAtMillis <= servedAtMillis);
    if (blockedAtMillis <= servedAtMillis) {
      blockedUntilMillis = NEVER;
      blocks = 0;
    }
  }

  /** Forgets what is too old; returns whether nothing is left. */
  boolean expire(long nowMillis) {
    crashMillis
        .values()
        .removeIf(
            crashedAtMillis -> nowMillis - crashedAtMillis > CrashEvidence.CRASH_RETENTION_MILLIS);
    if (blocks > 0 && nowMillis - blockedUntilMillis > CrashEvidence.PROBATION_MILLIS) {
      blocks = 0;
    }
    return !isSuspicious() && nowMillis - servedAtMillis > CrashEvidence.CRASH_RETENTION_MILLIS;
  }

  // ---- exchange between hosts -------------------------------------------------------------------

  /** Returns all that is known of the suspect, with times as ages. */
  SuspectRecord export(CrashSuspect suspect, long nowMillis) {
    SuspectRecord.Builder builder =
        SuspectRecord.newBuilder()
            .setBlocks(blocks)
            .setRequests(requests)
            .setHadOutput(servedAtMillis != NEVER);
    switch (suspect) {
      case CrashSuspect.Part part -> builder.setService(part.service()).setPart(part.part());
      case CrashSuspect.Request request ->
          builder
              .setService(request.service())
              .setWorkspace(request.workspace())
              .setFingerprint(request.fingerprint());
    }
    if (servedAtMillis != NEVER) {
      builder.setOutputAgeMillis(nowMillis - servedAtMillis);
    }
    if (blocks > 0) {
      builder
          .setBlockedAgeMillis(nowMillis - blockedAtMillis)
          .setBlockedLeftMillis(blockedLeftMillis(nowMillis));
    }
    crashMillis.forEach(
        (backend, crashedAtMillis) ->
            builder.addCrashes(
                BackendCrash.newBuilder()
                    .setBackend(backend)
                    .setAgeMillis(nowMillis - crashedAtMillis)));
    return builder.build();
  }

  /** Returns the suspect that another host's record is about. */
  static CrashSuspect suspectOf(SuspectRecord suspect) {
    return suspect.getFingerprint() == 0
        ? new CrashSuspect.Part(suspect.getService(), suspect.getPart())
        : new CrashSuspect.Request(
            suspect.getService(), suspect.getWorkspace(), suspect.getFingerprint());
  }

  /** Adds what another host knows. The latest sound run and the latest block prevail. */
  void merge(SuspectRecord other, long nowMillis) {
    requests = Math.max(requests, other.getRequests());
    if (other.getHadOutput()) {
      servedAtMillis = Math.max(servedAtMillis, nowMillis - other.getOutputAgeMillis());
    }
    long otherBlockedAtMillis = nowMillis - other.getBlockedAgeMillis();
    if (other.getBlocks() > 0 && otherBlockedAtMillis > blockedAtMillis) {
      blockedAtMillis = otherBlockedAtMillis;
      blockedUntilMillis = nowMillis + other.getBlockedLeftMillis();
      blocks = Math.max(blocks, other.getBlocks());
    }
    // A block has used up the crashes before it.
    for (BackendCrash crash : other.getCrashesList()) {
      long crashedAtMillis = nowMillis - crash.getAgeMillis();
      if (crashedAtMillis > blockedAtMillis) {
        recordCrash(crash.getBackend(), NEVER, crashedAtMillis);
      }
    }
    crashMillis.values().removeIf(crashedAtMillis -> crashedAtMillis <= blockedAtMillis);
    clearUntilServed();
  }
}
