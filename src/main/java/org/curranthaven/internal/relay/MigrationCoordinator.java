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
  private final InboundRequest call;
  private final Route route;
  private final @Nullable EngineCapabilities engine;
  private final Owner owner;
  private @Nullable StateTransfer handover;
  private boolean takingOver;
  private String copyName = "";

  /** Engine that keeps the stopped run if the other one does not take it over. */
  private String otherwise = "";

  /** Is told where the run goes on. */
  interface Owner {
    /** Returns whether the call is over, so that nothing goes on. */
    boolean isOver();

    /** The run goes on where it is. */
    void stays();

    /**
     * The run goes on at another engine.
     *
     * @param newBackup backend server that keeps a copy of it from then on; empty for none
     */
    void goesOnAt(BackendRecord to, String newBackup);

    /** The call is to be sent to an engine that takes the named copy over. */
    void sendTo(BackendRecord to, String copyName);

    /** The run is over, and nothing is left to go on from. */
    void lost(String reason);
  }

  MigrationCoordinator(
      RelayContext context,
      InboundRequest call,
      Route route,
      @Nullable EngineCapabilities engine,
      Owner owner) {
    this.context = context;
    this.call = call;
    this.route = route;
    this.engine = engine;
    this.owner = owner;
  }

  boolean isMoving() {
    return handover != null;
  }

  /** Begins to move the run to another engine. */
  void move(Attempt running, BackendRecord target, String newBackup, String backup) {
    handover =
        new StateTransfer(
            context,
            call,
            running.backend(),
            target,
            new MoveEnd(running, newBackup, mayRescue(backup) ? backup : ""));
    handover.start();
  }

  /** Returns whether a run that breaks off may have left a copy to go on from. */
  boolean mayRescue(String backup) {
    return engine != null
        && engine.supportsMigration()
        && !route.isRepeatable()
        && !backup.isEmpty();
  }

  /**
   * Takes in the end of an attempt; returns whether the run goes on for all that.
   *
   * @param backup backend server that keeps a copy of the run; empty for none
   */
  boolean goesOnAfter(Attempt ended, AttemptResult result, String backup) {
    if (handover != null && result instanceof AttemptResult.Broken) {
      handover.sourceEnded();
      return true;
    }
    boolean taking = takingOver;
    takingOver = false;
    boolean refusedThere =
        result instanceof AttemptResult.NotRun || result instanceof AttemptResult.Unreachable;
    if (taking && refusedThere) {
      goOnOtherwise();
      return true;
    }
    if (result instanceof AttemptResult.Broken && !taking && mayRescue(backup)) {
      rescue(ended, backup);
      return true;
    }
    return false;
  }

  private void goOnOtherwise() {
    BackendRecord stopped = context.backend(otherwise);
    otherwise = "";
    if (stopped == null) {
      owner.lost("the moved run could not go on");
      return;
    }
    takingOver = true;
    owner.sendTo(stopped, copyName);
  }

  /** Has a run whose connection broke stopped for certain, and goes on from what is left of it. */
  private void rescue(Attempt broken, String backup) {
    BackendRecord keeper = context.backend(backup);
    if (keeper == null) {
      owner.lost("the run broke off and so did its copy");
      return;
    }
    Logger.info("call {} of {} broke off at {}", call.id(), route.name(), broken.backend().getId());
    handover =
        new StateTransfer(context, call, broken.backend(), keeper, new RescueEnd(broken, keeper));
    handover.startStopped();
  }

  /** Goes on where a handover led to. */
  private final class MoveEnd implements StateTransfer.Owner {
    private final Attempt source;
    private final String newBackup;
    private final String backup;

    MoveEnd(Attempt source, String newBackup, String backup) {
      this.source = source;
      this.newBackup = newBackup;
      this.backup = backup;
    }

    @Override
    public void notMoved(boolean sourceEnded) {
      handover = null;
      if (owner.isOver()) {
        return;
      }
      Logger.info("call {} of {} stays at {}", call.id(), route.name(), source.backend().getId());
      if (sourceEnded && !backup.isEmpty()) {
        rescue(source, backup);
      } else if (sourceEnded) {
        owner.lost("the run stopped and could not be moved");
      } else {
        owner.stays();
      }
    }

    @Override
    public void moved(BackendRecord to, String copy) {
      goOn(source, to, copy, source.backend().getId(), newBackup);
    }
  }

  /** Goes on from the copy where the run itself could not be had any more. */
  private final class RescueEnd implements StateTransfer.Owner {
    private final Attempt broken;
    private final BackendRecord keeper;

    RescueEnd(Attempt broken, BackendRecord keeper) {
      this.broken = broken;
      this.keeper = keeper;
    }

    @Override
    public void notMoved(boolean sourceEnded) {
      moved(keeper, context.protocol().copyName(keeper, call.id()));
    }

    @Override
    public void moved(BackendRecord to, String copy) {
      goOn(broken, to, copy, "", "");
    }
  }

  /** Sends the call to an engine that takes the running request over. */
  private void goOn(
      Attempt source, BackendRecord to, String copy, String elsewhere, String newBackup) {
    handover = null;
    if (owner.isOver()) {
      return;
    }
    source.cancel();
    takingOver = true;
    otherwise = elsewhere;
    copyName = copy;
    Logger.info(
        "call {} of {} moves from {} to {}",
        call.id(),
        route.name(),
        source.backend().getId(),
        to.getId());
    owner.goesOnAt(to, newBackup);
    owner.sendTo(to, copy);
  }
}
