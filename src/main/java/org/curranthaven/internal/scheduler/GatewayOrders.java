package org.curranthaven.internal.scheduler;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import org.curranthaven.internal.dispatch.DispatchDecision;
import org.curranthaven.internal.dispatch.RequestId;
import org.curranthaven.internal.transport.wire.DispatchOrders;
import org.curranthaven.internal.transport.wire.MigrationOrder;
import org.curranthaven.internal.transport.wire.Placement;
import org.curranthaven.internal.transport.wire.Rejection;

/** Gathers the decisions on requests into one message for each gateway. Not thread-safe. */
final class GatewayOrders {
  private final Function<String, DispatchOrders.Builder> newOrders;
  private final Predicate<RequestId> isOnReserve;
  private final Map<String, DispatchOrders.Builder> byGateway = new LinkedHashMap<>();

  /**
   * Creates it without decisions.
   *
   * @param newOrders returns the message to a gateway without decisions
   * @param isOnReserve whether a request is a retry on its gateway's part of the reserve
   */
  GatewayOrders(
      Function<String, DispatchOrders.Builder> newOrders, Predicate<RequestId> isOnReserve) {
    this.newOrders = newOrders;
    this.isOnReserve = isOnReserve;
  }

  void add(DispatchDecision decision) {
    DispatchOrders.Builder orders =
        byGateway.computeIfAbsent(decision.requestId().gateway(), newOrders);
    switch (decision) {
      case DispatchDecision.Place placement ->
          orders.addPlacements(
              Placement.newBuilder()
                  .setId(placement.requestId().id())
                  .setBackend(placement.backend())
                  .setUrgency(placement.urgency())
                  .setBackup(placement.backup())
                  .setOnReserve(isOnReserve.test(placement.requestId())));
      case DispatchDecision.Reject rejection ->
          orders.addRefusals(
              Rejection.newBuilder()
                  .setId(rejection.requestId().id())
                  .setRetryAfterMillis(rejection.retryAfterMillis())
                  .setReason(rejection.reason().name()));
      case DispatchDecision.Stop stop ->
          orders.addStops(
              Rejection.newBuilder()
                  .setId(stop.requestId().id())
                  .setRetryAfterMillis(stop.retryAfterMillis())
                  .setReason(stop.reason().name()));
      case DispatchDecision.Migrate migration ->
          orders.addMoves(
              MigrationOrder.newBuilder()
                  .setId(migration.requestId().id())
                  .setTarget(migration.target())
                  .setBackup(migration.backup()));
    }
  }

  /** Returns the messages by gateway, in the order of their first decisions. */
  Map<String, DispatchOrders.Builder> byGateway() {
    return Collections.unmodifiableMap(byGateway);
  }
}
