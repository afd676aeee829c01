package org.curranthaven.internal.emulator;

import java.util.List;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.dispatch.DispatchDecision;
import org.curranthaven.internal.dispatch.RequestId;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.curranthaven.internal.transport.wire.PlacementRequest;

/** Decides where the requests of an emulated deployment run; see {@code DispatchCore}. */
interface PlacementPolicy {
  void setCatalog(Catalog catalog);

  /** Handles a registration. */
  void updateBackend(BackendRecord registration, long nowMillis);

  /** Handles a backend server that leaves; requests on it may continue. */
  void removeBackend(String id, long nowMillis);

  void submit(RequestId requestId, PlacementRequest request, long nowMillis);

  void outputProgressed(RequestId requestId, int outputTokens, long nowMillis);

  void requestEnded(RequestId requestId, DispatchOutcome outcome, int outputTokens, long nowMillis);

  /** Handles a response that states how slow the machine of its backend server is. */
  default void slownessStated(String backend, int percent, long nowMillis) {}

  void tick(long nowMillis);

  /** Returns and clears the decisions made since the last invocation, in order. */
  List<DispatchDecision> drainDecisions();
}
