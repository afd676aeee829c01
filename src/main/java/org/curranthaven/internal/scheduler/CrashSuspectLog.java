package org.curranthaven.internal.scheduler;

import org.curranthaven.internal.catalog.CrashSuspectState;
import org.curranthaven.internal.dispatch.CrashEvidence;
import org.tinylog.Logger;

/**
 * Puts into the replicated log what may crash backend servers, so that a request that did is not
 * tried on more of them after the loss of all hosts. Confined to the event loop.
 */
final class CrashSuspectLog {
  /** Shortest time between two records; well below the time within which all hosts must know. */
  static final long INTERVAL_MILLIS = 500;

  private final SchedulerLog log;
  private CrashSuspectState.Snapshot committed = CrashSuspectState.Snapshot.EMPTY;
  private CrashEvidence evidence = new CrashEvidence();

  /** Number of starts; a record of an earlier one no longer counts. */
  private long starts;

  private boolean awaitingCommit;
  private long recordedVersion;
  private long recordedAtMillis = Long.MIN_VALUE / 2;

  CrashSuspectLog(SchedulerLog log) {
    this.log = log;
  }

  /** Takes over what earlier leaders have committed, for the next {@link #start}. */
  void setCommitted(CrashSuspectState.Snapshot newlyCommitted) {
    committed = newlyCommitted;
  }

  /**
   * Starts to lead: adds the committed suspects to the known ones.
   *
   * @param nowEpochMillis present time by the wall clock; one that is behind the clock of the
   *     earlier leader makes suspects count for longer
   */
  void start(CrashEvidence known, long nowMillis, long nowEpochMillis) {
    evidence = known;
    long elapsedMillis = Math.max(0, nowEpochMillis - committed.recordedAtEpochMillis());
    if (!committed.suspects().isEmpty()) {
      // Their times are ages at the moment when they were recorded.
      evidence.merge(committed.decoded(), nowMillis - elapsedMillis);
      Logger.info(
          "{} suspects of crashes taken over, recorded {} ms ago",
          committed.suspects().size(),
          elapsedMillis);
    }
    committed = CrashSuspectState.Snapshot.EMPTY;
    recordedVersion = evidence.version();
    awaitingCommit = false;
    starts++;
  }

  /** Records the suspects if they have changed, unless a record is on its way. */
  void write(long nowMillis, long nowEpochMillis) {
    boolean due = nowMillis - recordedAtMillis >= INTERVAL_MILLIS;
    if (awaitingCommit || !due || evidence.version() == recordedVersion) {
      return;
    }
    long version = evidence.version();
    long startOfRecord = starts;
    awaitingCommit = true;
    recordedAtMillis = nowMillis;
    log.recordCrashSuspects(
        CrashSuspectState.Snapshot.of(evidence.export(nowMillis), nowEpochMillis),
        accepted -> finished(version, startOfRecord, accepted));
  }

  private void finished(long version, long startOfRecord, boolean accepted) {
    if (startOfRecord == starts) {
      awaitingCommit = false;
      recordedVersion = accepted ? version : recordedVersion;
    }
  }
}
