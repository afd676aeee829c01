package org.curranthaven.internal.emulator;

import java.util.List;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.dispatch.DispatchCore;
import org.curranthaven.internal.dispatch.DispatchDecision;
import org.curranthaven.internal.dispatch.RequestId;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.DispatchOutcome;
import org.curranthaven.internal.transport.wire.PlacementRequest;

/** The dispatch core that serves. */
record CorePolicy(DispatchCore core) implements PlacementPolicy {
  @Override
  public void setCatalog(Catalog catalog) {
    core.setCatalog(catalog);
  }

  @Override
  public void updateBackend(BackendRecord registration, long nowMillis) {
    core.updateBackend(registration, nowMillis);
  }

  @Override
  public void removeBackend(String id, long nowMillis) {
    core.removeBackend(id, nowMillis);
  }

  @Override
  public void submit(RequestId requestId, PlacementRequest request, long nowMillis) {
    core.submit(requestId, request, nowMillis);
  }

  @Override
  public void outputProgressed(RequestId requestId, int outputTokens, long nowMillis) {
    core.outputProgressed(requestId, outputTokens, nowMillis);
  }

  @Override
  public void requestEnded(
      RequestId requestId, DispatchOutcome outcome, int outputTokens, long nowMillis) {
    core.requestEnded(requestId, outcome, outputTokens, nowMillis);
  }

  @Override
  public void slownessStated(String backend, int percent, long nowMillis) {
    core.slownessStated(backend, percent, nowMillis);
  }

  @Override
  public void tick(long nowMillis) {
    core.tick(nowMillis);
  }

  @Override
  public List<DispatchDecision> drainDecisions() {
    return core.drainDecisions();
  }
}
