package org.curranthaven.internal.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.tinylog.Logger;

/**
 * Finds out whether a backend server that closed a connection before the end of a response has
 * crashed: it then refuses new connections. A connection that cannot be opened for another reason,
 * such as a lost network path, shows nothing. Confined to the event loop.
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
   * Opens a connection to the backend server, reports the crash if it refuses that, and then passes
   * on whether it has crashed. Probes of one backend server that overlap share a connection.
   */
  void check(BackendRecord backend, Consumer<Boolean> action) {
    List<Consumer<Boolean>> pending = pendingActions.get(backend.getId());
    if (pending != null) {
      pending.add(action);
      return;
    }
    List<Consumer<Boolean>> actions = new ArrayList<>();
    actions.add(action);
    pendingActions.put(backend.getId(), actions);
    pool.probe(backend.getAddress(), refused -> finish(backend, refused));
  }

  private void finish(BackendRecord backend, boolean refused) {
    List<Consumer<Boolean>> actions = pendingActions.remove(backend.getId());
    if (refused) {
      reportCrash(backend);
    }
    if (actions != null) {
      actions.forEach(action -> action.accept(refused));
    }
  }

  /** Reports a backend server that closed a connection and refuses new ones. */
  void reportCrash(BackendRecord backend) {
    Logger.info(
        "backend server {} at {} crashed: it closed a connection before the end of a response"
            + " and refuses new ones",
        backend.getId(),
        backend.getAddress());
    placer.reportCrash(backend.getId());
  }
}
