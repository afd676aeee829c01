package org.curranthaven.internal.relay;

import org.curranthaven.internal.catalog.EngineCapabilities;
import org.curranthaven.internal.catalog.Route;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Moves one call's run to another engine, and goes on from a copy where the run broke off. Used on
 * the event loop only.
 */
final class MigrationCoordinator {
  private final RelayContext context;
  private final InboundRequest request;
  private final Route route;
  private final @Nullable EngineCapabilities engine;
  private final Owner owner;
  private @Nullable StateTransfer transfer;
  private boolean resuming;
  private String stateReference = "";

  /** Engine that keeps the stopped run if the other one does not take it over. */
  private String fallbackBackend = "";

  /** Is told where the run goes on. */
  interface Owner {
    /** Returns whether the call is over, so that nothing goes on. */
    boolean isFinished();

    /** The run goes on where it is. */
    void onMigrationFailed();

    /**
     * The run goes on at another engine.
     *
     * @param newBackup backend server that keeps a copy of it from then on; empty for none
     */
    void onMigrated(BackendRecord to, String newBackup);

    /** The call is to be sent to an engine that takes the named copy over. */
    void resumeAt(BackendRecord to, String copyName);

    /** The run is over, and nothing is left to go on from. */
    void onStateLost(String reason);
  }

  MigrationCoordinator(
      RelayContext context,
      InboundRequest call,
      Route route,
      @Nullable EngineCapabilities engine,
      Owner owner) {
    this.context = context;
    this.request = call;
    this.route = route;
    this.engine = engine;
    this.owner = owner;
  }

  boolean isMigrating() {
    return transfer != null;
  }

  /** Begins to move the run to another engine. */
  void migrate(Attempt running, BackendRecord target, String newBackup, String backup) {
    transfer =
        new StateTransfer(
            context,
            request,
            running.backend(),
            target,
            new MigrationTransferListener(running, newBackup, mayHaveBackup(backup) ? backup : ""));
    transfer.start();
  }

  /** Returns whether a run that breaks off may have left a copy to go on from. */
  boolean mayHaveBackup(String backup) {
    return engine != null && engine.moves() && !route.isRepeatable() && !backup.isEmpty();
  }

  /**
   * Takes in the end of an attempt; returns whether the run goes on for all that.
   *
   * @param backup backend server that keeps a copy of the run; empty for none
   */
  boolean continuesAfter(Attempt ended, AttemptResult result, String backup) {
    if (transfer != null && result instanceof AttemptResult.Interrupted) {
      transfer.sourceEnded();
      return true;
    }
    boolean taking = resuming;
    resuming = false;
    boolean refusedThere =
        result instanceof AttemptResult.NotRun || result instanceof AttemptResult.Unreachable;
    if (taking && refusedThere) {
      resumeAtFallback();
      return true;
    }
    if (result instanceof AttemptResult.Interrupted && !taking && mayHaveBackup(backup)) {
      resumeFromBackup(ended, backup);
      return true;
    }
    return false;
  }

  private void resumeAtFallback() {
    BackendRecord stopped = context.backend(fallbackBackend);
    fallbackBackend = "";
    if (stopped == null) {
      owner.onStateLost("the moved run could not go on");
      return;
    }
    resuming = true;
    owner.resumeAt(stopped, stateReference);
  }

  /** Has a run whose connection broke stopped for certain, and goes on from what is left of it. */
  private void resumeFromBackup(Attempt broken, String backup) {
    BackendRecord keeper = context.backend(backup);
    if (keeper == null) {
      owner.onStateLost("the run broke off and so did its copy");
      return;
    }
    Logger.info(
        "call {} of {} broke off at {}", request.id(), route.name(), broken.backend().getId());
    transfer =
        new StateTransfer(
            context,
            request,
            broken.backend(),
            keeper,
            new RecoveryTransferListener(broken, keeper));
    transfer.startWithEndedSource();
  }

  /** Goes on where a handover led to. */
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
    public void onTransferFailed(boolean sourceEnded) {
      transfer = null;
      if (owner.isFinished()) {
        return;
      }
      Logger.info(
          "call {} of {} stays at {}", request.id(), route.name(), source.backend().getId());
      if (sourceEnded && !backup.isEmpty()) {
        resumeFromBackup(source, backup);
      } else if (sourceEnded) {
        owner.onStateLost("the run stopped and could not be moved");
      } else {
        owner.onMigrationFailed();
      }
    }

    @Override
    public void onTransferred(BackendRecord to, String copy) {
      resumeAtTarget(source, to, copy, source.backend().getId(), newBackup);
    }
  }

  /** Goes on from the copy where the run itself could not be had any more. */
  private final class RecoveryTransferListener implements StateTransfer.Listener {
    private final Attempt interrupted;
    private final BackendRecord backupBackend;

    RecoveryTransferListener(Attempt broken, BackendRecord keeper) {
      this.interrupted = broken;
      this.backupBackend = keeper;
    }

    @Override
    public void onTransferFailed(boolean sourceEnded) {
      onTransferred(backupBackend, context.protocol().stateReference(backupBackend, request.id()));
    }

    @Override
    public void onTransferred(BackendRecord to, String copy) {
      resumeAtTarget(interrupted, to, copy, "", "");
    }
  }

  /** Sends the call to an engine that takes the running request over. */
  private void resumeAtTarget(
      Attempt source, BackendRecord to, String copy, String elsewhere, String newBackup) {
    transfer = null;
    if (owner.isFinished()) {
      return;
    }
    source.cancel();
    resuming = true;
    fallbackBackend = elsewhere;
    stateReference = copy;
    Logger.info(
        "call {} of {} moves from {} to {}",
        request.id(),
        route.name(),
        source.backend().getId(),
        to.getId());
    owner.onMigrated(to, newBackup);
    owner.resumeAt(to, copy);
  }
}
