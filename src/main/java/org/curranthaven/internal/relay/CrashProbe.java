package org.curranthaven.internal.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.tinylog.Logger;

/**
 * Finds out whether an engine that closed a connection before the end of a response has crashed: it
 * then refuses new connections. A connection that cannot be opened for another reason, such as a
 * lost network path, shows nothing. Confined to the event loop.
 */
final class CrashProbe {
  private final BackendPool pool;
  private final RequestPlacer placer;
  private final Map<String, List<Consumer<Boolean>>> pendingActions = new HashMap<>();

  CrashProbe(BackendPool pool, RequestPlacer placer) {
    this.pool = pool;
    this.placer = placer;
  }

  /**
   * Opens a connection to the engine, reports the crash if it refuses that, and then passes on
   * whether it has crashed. Probes of one engine that overlap share a connection.
   */
  void check(BackendRecord engine, Consumer<Boolean> action) {
    List<Consumer<Boolean>> pending = pendingActions.get(engine.getId());
    if (pending != null) {
      pending.add(action);
      return;
    }
    List<Consumer<Boolean>> actions = new ArrayList<>();
    actions.add(action);
    pendingActions.put(engine.getId(), actions);
    pool.probe(engine.getAddress(), refused -> finish(engine, refused));
  }

  private void finish(BackendRecord engine, boolean refused) {
    List<Consumer<Boolean>> actions = pendingActions.remove(engine.getId());
    if (refused) {
      Logger.info(
          "backend server {} at {} crashed: it closed a connection before the end of a response"
              + " and refuses new ones",
          engine.getId(),
          engine.getAddress());
      placer.reportCrash(engine.getId());
    }
    if (actions != null) {
      actions.forEach(action -> action.accept(refused));
    }
  }
}
