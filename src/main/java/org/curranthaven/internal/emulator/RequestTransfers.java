package org.curranthaven.internal.emulator;

import org.jspecify.annotations.Nullable;

/** Migrations and backup copies of running requests. Not thread-safe. */
final class RequestTransfers {
  /** Pause of a stream, and the failed connection after it, that reveal a silent engine. */
  static final long SILENCE_DETECTION_MILLIS = 1_900;

  /** Time to stop a request, to copy what was added, and to start it at the target. */
  private static final long FINAL_COPY_MILLIS = 20;

  /** Output that a backup copy lacks when its engine is lost. */
  private static final int COPY_LAG_TOKENS = 32;

  private final EventQueue events;
  private final TransferLinks links;

  RequestTransfers(EventQueue events, TransferLinks links) {
    this.events = events;
    this.links = links;
  }

  // ---- migrations -------------------------------------------------------------------------------

  /**
   * Starts a migration; returns false if the request does not run or the target has no memory.
   *
   * @param onTransferred runs once the request has stopped at its source with its state at the
   *     target
   */
  boolean startMigration(SimulatedRequest request, EmulatedEngine target, Runnable onTransferred) {
    EmulatedEngine source = request.engine;
    if (source == null
        || !source.isAlive()
        || request.migrationTarget != null
        || !target.model().reserve(migrationKey(request), request.stateTokens())) {
      return false;
    }
    request.migrationTarget = target;
    long copiedAtMicros = links.transfer(source, target, request.stateTokens(), events.nowMicros());
    events.scheduleAt(copiedAtMicros, () -> stopAtSource(request, source, target, onTransferred));
    return true;
  }

  private void stopAtSource(
      SimulatedRequest request,
      EmulatedEngine source,
      EmulatedEngine target,
      Runnable onTransferred) {
    if (request.finished || request.migrationTarget != target || !source.isAlive()) {
      return;
    }
    source.cancel(request);
    events.scheduleAfterMillis(
        FINAL_COPY_MILLIS,
        () -> {
          if (!request.finished && request.migrationTarget == target && target.isAlive()) {
            abandonMigration(request);
            onTransferred.run();
          }
        });
  }

  /** Frees the memory that a migration has reserved at its target. */
  void abandonMigration(SimulatedRequest request) {
    EmulatedEngine target = request.migrationTarget;
    request.migrationTarget = null;
    if (target != null) {
      target.model().release(migrationKey(request));
    }
  }

  private static String migrationKey(SimulatedRequest request) {
    return request.generation() + "/migration";
  }

  // ---- backup copies ----------------------------------------------------------------------------

  /** Starts the backup copy of a request whose prompt has been processed. */
  void startBackup(SimulatedRequest request) {
    EmulatedEngine source = request.engine;
    EmulatedEngine target = request.backup;
    if (source == null || target == null) {
      return;
    }
    if (!target.isAlive()
        || target == source
        || !target.model().reserve(backupKey(request), request.stateTokens())) {
      request.backup = null;
      return;
    }
    request.backupReadyAtMicros =
        links.transfer(source, target, request.stateTokens(), events.nowMicros());
  }

  /** Grows the backup copy with the output, while its engine has memory. */
  void growBackup(SimulatedRequest request) {
    EmulatedEngine target = request.backup;
    if (target != null
        && target.isAlive()
        && !target.model().reserve(backupKey(request), request.stateTokens())) {
      request.backup = null;
    }
  }

  /** Returns the engine that can resume the request from its backup copy; null if none can. */
  @Nullable EmulatedEngine usableBackup(SimulatedRequest request) {
    EmulatedEngine target = request.backup;
    return target != null && target.isAlive() ? target : null;
  }

  /** Returns the tokens of state that have arrived in the backup copy. */
  int copiedTokens(SimulatedRequest request) {
    boolean complete = events.nowMicros() >= request.backupReadyAtMicros;
    return complete ? Math.max(0, request.stateTokens() - COPY_LAG_TOKENS) : 0;
  }

  void releaseBackup(SimulatedRequest request) {
    EmulatedEngine target = request.backup;
    request.backup = null;
    request.backupReadyAtMicros = Long.MAX_VALUE;
    if (target != null) {
      target.model().release(backupKey(request));
    }
  }

  private static String backupKey(SimulatedRequest request) {
    return request.generation() + "/copy";
  }
}
