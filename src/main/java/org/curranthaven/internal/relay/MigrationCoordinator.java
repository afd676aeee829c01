package org.curranthaven.internal.relay;

import org.curranthaven.internal.catalog.EngineCapabilities;
import org.curranthaven.internal.catalog.Route;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Migrates one running request to another engine, and resumes it from its backup copy after an
 * interruption. Confined to the event loop.
 */
final class MigrationCoordinator {
  private final RelayContext context;
  private final InboundRequest request;
  private final Route route;
  private final @Nullable EngineCapabilities engine;
  private final RequestProgress progress;
  private final Owner owner;
  private @Nullable StateTransfer transfer;
  private Migration migration = Migration.NONE;
  private boolean resuming;

  /** Whether the engine that runs the request was told to stop it and did not answer. */
  private boolean stopUnanswered;

  /**
   * Result of a stream that ended with its connection after its engine was told to stop it; null if
   * there is none. It stands if the engine had finished the request before.
   */
  private AttemptResult.@Nullable Completed unconfirmedResult;

  private String stateReference = "";

  /**
   * Engine that still holds the stopped request if the target does not resume it; empty for none.
   */
  private String fallbackBackend = "";

  /** The migrated request: receives the outcome and sends the request on. */
  interface Owner {
    /** Returns whether the request has finished, so that it must not be resumed. */
    boolean isFinished();

    /** Returns whether engines crash on the request or a part of its prompt: none may run it. */
    boolean isBlocked();

    /** Handles a failed migration: the request continues on its present engine. */
    void onMigrationFailed();

    /**
     * Handles a migration, or the recovery from a backup copy: the request continues on the given
     * engine, which may be the one that it ran on.
     *
     * @param newBackup backend server that keeps its backup copy from now on; empty for none
     */
    void onMigrated(BackendRecord target, String newBackup);

    /** Sends the request to an engine that resumes it from the referenced state. */
    void resumeAt(BackendRecord target, String stateReference);

    /** Handles the loss of the request's state: nothing is left to resume from. */
    void onStateLost(String reason);

    /** Handles the result of a request that its engine finished before it could be stopped. */
    void onFinishedAtSource(Attempt source, AttemptResult.Completed result);
  }

  MigrationCoordinator(
      RelayContext context,
      InboundRequest request,
      Route route,
      @Nullable EngineCapabilities engine,
      RequestProgress progress,
      Owner owner) {
    this.context = context;
    this.request = request;
    this.route = route;
    this.engine = engine;
    this.progress = progress;
    this.owner = owner;
  }

  boolean isMigrating() {
    return transfer != null;
  }

  /** Returns whether the engine has been told to stop the request for its migration. */
  boolean isStopping() {
    return transfer != null && transfer.isStopping();
  }

  /** Returns the migration in progress; {@link Migration#NONE} if there is none. */
  Migration migration() {
    return migration;
  }

  /**
   * Starts the migration of a running request to another engine.
   *
   * @param newBackup backend server that keeps the backup copy after the migration; empty for none
   * @param backup backend server that keeps the backup copy now; empty for none
   */
  void migrate(Attempt running, BackendRecord target, String newBackup, String backup) {
    migration = new Migration(target.getId(), newBackup);
    transfer =
        new StateTransfer(
            context,
            request,
            running.backend(),
            target,
            new MigrationTransferListener(running, newBackup, mayHaveBackup(backup) ? backup : ""));
    transfer.start();
  }

  /** Returns whether a backup copy may exist from which an interrupted request can resume. */
  boolean mayHaveBackup(String backup) {
    return engine != null
        && engine.supportsMigration()
        && !route.isRepeatable()
        && !backup.isEmpty();
  }

  /**
   * Handles the end of an attempt; returns its result, or null if the request continues.
   *
   * @param backup backend server that keeps the backup copy; empty for none
   */
  @Nullable AttemptResult resultAfter(Attempt ended, AttemptResult reported, String backup) {
    AttemptResult.Completed endedWithConnection = endedWithConnection(reported);
    if (transfer != null && transfer.isStopping() && endedWithConnection != null) {
      unconfirmedResult = endedWithConnection;
      transfer.onSourceEnded();
      return null;
    }
    AttemptResult result =
        stopUnanswered && endedWithConnection != null
            ? new AttemptResult.Interrupted("the stream ended after its engine was told to stop it")
            : reported;
    return continuesAfter(ended, result, backup) ? null : result;
  }

  /** Returns the result if only the end of the connection marks the end of its response. */
  private static AttemptResult.@Nullable Completed endedWithConnection(AttemptResult result) {
    return result instanceof AttemptResult.Completed completed
            && completed.head().isSuccess()
            && completed.response().endedWithConnection()
        ? completed
        : null;
  }

  private boolean continuesAfter(Attempt ended, AttemptResult result, String backup) {
    if (transfer != null && result instanceof AttemptResult.Interrupted) {
      transfer.onSourceEnded();
      return true;
    }
    boolean wasResuming = resuming;
    resuming = false;
    boolean notRunAtTarget =
        result instanceof AttemptResult.NotRun || result instanceof AttemptResult.Unreachable;
    if (wasResuming && notRunAtTarget) {
      resumeAtFallback();
      return true;
    }
    if (result instanceof AttemptResult.Interrupted && !wasResuming && mayHaveBackup(backup)) {
      resumeFromBackup(ended, backup);
      return true;
    }
    return false;
  }

  /**
   * Has the engine stop a request whose stream has stalled, and resumes it at the engine with its
   * backup copy. The stream stays open meanwhile: if the engine can be reached and does not confirm
   * the stop, it may only be slow, and the stream may go on.
   */
  void resumeStalled(Attempt stalled, String backup) {
    BackendRecord backupBackend = context.backend(backup);
    if (backupBackend == null || context.placer().isEvacuated(backupBackend) || isMigrating()) {
      return;
    }
    Logger.info(
        "request {} on route {}: stalled at backend server {};"
            + " to be resumed with the backup copy at {}",
        request.id(),
        route.name(),
        stalled.backend().getId(),
        backup);
    transfer =
        new StateTransfer(
            context,
            request,
            stalled.backend(),
            backupBackend,
            new StalledTransferListener(stalled, backupBackend));
    long receivedParts = stalled.receivedParts();
    transfer.startAtStalledSource(() -> stalled.receivedParts() > receivedParts);
  }

  private void resumeAtFallback() {
    BackendRecord fallback = context.backend(fallbackBackend);
    fallbackBackend = "";
    if (fallback == null) {
      owner.onStateLost(
          "neither the target of the migration nor its source could resume the request");
      return;
    }
    if (owner.isBlocked()) {
      owner.onStateLost("engines crash on it or a part of its prompt, so it is not resumed");
      return;
    }
    resuming = true;
    owner.resumeAt(fallback, stateReference);
  }

  /**
   * Has the engine stop a request whose connection was lost, if it can be reached, and resumes the
   * request from the state that is left.
   */
  private void resumeFromBackup(Attempt interruptedAttempt, String backup) {
    BackendRecord backupBackend = context.backend(backup);
    if (backupBackend == null || context.placer().isEvacuated(backupBackend)) {
      owner.onStateLost(
          "the request was interrupted at backend server "
              + interruptedAttempt.backend().getId()
              + ", and backend server "
              + backup
              + " with the backup copy is unavailable");
      return;
    }
    Logger.info(
        "request {} on route {}: interrupted at backend server {};"
            + " resuming with the backup copy at {}",
        request.id(),
        route.name(),
        interruptedAttempt.backend().getId(),
        backup);
    transfer =
        new StateTransfer(
            context,
            request,
            interruptedAttempt.backend(),
            backupBackend,
            new RecoveryTransferListener(interruptedAttempt, backupBackend));
    transfer.startWithEndedSource();
  }

  /** Handles the outcome of the state transfer of a migration. */
  private final class MigrationTransferListener implements StateTransfer.Listener {
    private final Attempt source;
    private final String newBackup;
    private final String backup;

    MigrationTransferListener(Attempt source, String newBackup, String backup) {
      this.source = source;
      this.newBackup = newBackup;
      this.backup = backup;
    }

    @Override
    public void onTransferFailed(StateTransfer.SourceState sourceState) {
      transfer = null;
      migration = Migration.NONE;
      if (owner.isFinished()) {
        return;
      }
      AttemptResult.Completed result = unconfirmedResult;
      unconfirmedResult = null;
      if (result != null && hasFinished(sourceState)) {
        owner.onFinishedAtSource(source, result);
        return;
      }
      boolean unanswered = sourceState == StateTransfer.SourceState.STOP_UNANSWERED;
      // A later migration that fails takes nothing back.
      stopUnanswered = stopUnanswered || unanswered;
      boolean running = unanswered || sourceState == StateTransfer.SourceState.RUNNING;
      Logger.info(
          "request {} on route {}: migration from backend server {} failed; {}",
          request.id(),
          route.name(),
          source.backend().getId(),
          running ? "the request continues there" : "its stream has ended there");
      if (!running && !backup.isEmpty()) {
        owner.onMigrationFailed();
        resumeFromBackup(source, backup);
      } else if (!running) {
        owner.onStateLost(
            "the request stopped at backend server "
                + source.backend().getId()
                + " and its state could not be transferred");
      } else {
        owner.onMigrationFailed();
      }
    }

    @Override
    public void onTransferred(BackendRecord target, String newStateReference) {
      resumeAtTarget(source, target, newStateReference, source.backend().getId(), newBackup);
    }
  }

  /**
   * Resumes from the backup copy if the state of the interrupted request can no longer be fetched.
   */
  private final class RecoveryTransferListener implements StateTransfer.Listener {
    private final Attempt interruptedAttempt;
    private final BackendRecord backupBackend;

    RecoveryTransferListener(Attempt interruptedAttempt, BackendRecord backupBackend) {
      this.interruptedAttempt = interruptedAttempt;
      this.backupBackend = backupBackend;
    }

    @Override
    public void onTransferFailed(StateTransfer.SourceState sourceState) {
      transfer = null;
      if (owner.isFinished()) {
        return;
      }
      switch (sourceState) {
        case NOT_RUNNING, STOPPED, GONE -> resumeAtBackup(interruptedAttempt, backupBackend);
        case RUNNING, STOP_UNANSWERED, STOP_UNCONFIRMED ->
            owner.onStateLost(
                "the request was interrupted at backend server "
                    + interruptedAttempt.backend().getId()
                    + ", which can be reached and has not confirmed that it stopped the request");
      }
    }

    @Override
    public void onTransferred(BackendRecord target, String newStateReference) {
      resumeAtTarget(interruptedAttempt, target, newStateReference, "", "");
    }
  }

  /** Resumes a stalled request, or lets it continue if its engine may still run it. */
  private final class StalledTransferListener implements StateTransfer.Listener {
    private final Attempt stalled;
    private final BackendRecord backupBackend;

    StalledTransferListener(Attempt stalled, BackendRecord backupBackend) {
      this.stalled = stalled;
      this.backupBackend = backupBackend;
    }

    @Override
    public void onTransferFailed(StateTransfer.SourceState sourceState) {
      transfer = null;
      AttemptResult.Completed result = unconfirmedResult;
      unconfirmedResult = null;
      if (owner.isFinished()) {
        return;
      }
      if (result != null && hasFinished(sourceState)) {
        owner.onFinishedAtSource(stalled, result);
        return;
      }
      switch (sourceState) {
        case NOT_RUNNING, STOPPED, GONE -> resumeAtBackup(stalled, backupBackend);
        case STOP_UNCONFIRMED -> resumeFromBackup(stalled, backupBackend.getId());
        case STOP_UNANSWERED -> stopUnanswered = true;
        case RUNNING -> {}
      }
    }

    @Override
    public void onTransferred(BackendRecord target, String newStateReference) {
      resumeAtTarget(stalled, target, newStateReference, "", "");
    }
  }

  /** Returns whether the source can only have ended its stream because the request was finished. */
  private boolean hasFinished(StateTransfer.SourceState sourceState) {
    return sourceState == StateTransfer.SourceState.NOT_RUNNING && !stopUnanswered;
  }

  /**
   * Resumes the request from its backup copy. Only an event shows that there is a run, and so a
   * copy, and where to resume it; without one, the engine might run the request anew.
   */
  private void resumeAtBackup(Attempt source, BackendRecord backupBackend) {
    if (!progress.hasEvents()) {
      source.cancel();
      owner.onStateLost(
          "the request ended at backend server "
              + source.backend().getId()
              + " before its first event, so that nothing shows that a backup copy of it exists");
      return;
    }
    String reference = context.protocol().stateReference(backupBackend, request.id());
    resumeAtTarget(source, backupBackend, reference, "", "");
  }

  /** Resumes the request at the target of a state transfer. */
  private void resumeAtTarget(
      Attempt source,
      BackendRecord target,
      String newStateReference,
      String newFallbackBackend,
      String newBackup) {
    transfer = null;
    migration = Migration.NONE;
    if (owner.isFinished()) {
      return;
    }
    source.cancel();
    if (owner.isBlocked()) {
      owner.onStateLost("engines crash on it or a part of its prompt, so it is not resumed");
      return;
    }
    stopUnanswered = false;
    unconfirmedResult = null;
    resuming = true;
    fallbackBackend = newFallbackBackend;
    stateReference = newStateReference;
    Logger.info(
        "request {} on route {}: resuming at backend server {} after event \"{}\" (last ran at {})",
        request.id(),
        route.name(),
        target.getId(),
        progress.lastEventId(),
        source.backend().getId());
    owner.onMigrated(target, newBackup);
    owner.resumeAt(target, newStateReference);
  }
}
