package org.curranthaven.internal.scheduler;

import com.google.protobuf.ByteString;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.curranthaven.internal.catalog.EvacuationState;
import org.curranthaven.internal.configuration.FleetCommand;
import org.curranthaven.internal.settings.Json;
import org.curranthaven.internal.supervision.Clock;
import org.curranthaven.internal.transport.wire.AdminReply;
import org.jspecify.annotations.Nullable;

/**
 * Carries out, on the leader, orders to evacuate a data centre and their withdrawals: commits those
 * that were made for the present state, and replies once they are in force. Safe to repeat.
 * Confined to the event loop.
 */
final class EvacuationHandler {
  private final Scheduler scheduler;
  private final Clock clock;
  private final RequestLog orderLog = new RequestLog();
  private final BooleanSupplier canAccept;
  private final Log log;

  /** Replicates orders. */
  interface Log {
    /**
     * Commits an order. The callback runs on the event loop, with the result of the order; null if
     * it may not have been committed.
     */
    void commit(ByteString order, Consumer<EvacuationState.@Nullable Result> callback);
  }

  /**
   * Creates a handler.
   *
   * @param canAccept whether this host leads with enough voters to survive the tolerated losses
   */
  EvacuationHandler(Scheduler scheduler, Clock clock, BooleanSupplier canAccept, Log log) {
    this.scheduler = scheduler;
    this.clock = clock;
    this.canAccept = canAccept;
    this.log = log;
  }

  /** Handles an order that is encoded as a {@link FleetCommand.EvacuationOrder}. */
  void handle(ByteString encodedOrder, Consumer<AdminReply.Builder> reply) {
    if (!canAccept.getAsBoolean()) {
      reply.accept(statusOnly(LeaderClient.NOT_LEADER));
      return;
    }
    if (!(Json.read(encodedOrder, FleetCommand.class)
        instanceof FleetCommand.EvacuationOrder order)) {
      reply.accept(statusOnly(LeaderClient.UNKNOWN_PATH));
      return;
    }
    // An order without a revision may be an old copy: its sender is told the revision to name.
    FleetCommand command = order.revision() == null ? new FleetCommand.ReadEvacuation() : order;
    log.commit(
        Json.write(command),
        result -> {
          logResult(order, result);
          if (result == null) {
            reply.accept(statusOnly(LeaderClient.NOT_LEADER));
          } else if (result.accepted()) {
            enforce(result.state(), reply);
          } else if (result.state().mayOrder(order.dataCentre())) {
            reply.accept(revisionToName(result.state()));
          } else {
            reply.accept(unknownDataCentre(order, result.state()));
          }
        });
  }

  private void logResult(
      FleetCommand.EvacuationOrder order, EvacuationState.@Nullable Result result) {
    if (result == null) {
      orderLog.write(clock.nowMillis(), "leader: order {} not committed", order);
      return;
    }
    String rejection = order.revision() == null ? "names no revision" : "rejected";
    orderLog.write(
        clock.nowMillis(),
        "leader: order {} {}, present revision {}",
        order,
        result.accepted() ? "committed" : rejection,
        result.state().revision());
  }

  private static AdminReply.Builder revisionToName(EvacuationState.Snapshot state) {
    return statusOnly(LeaderClient.TEMPORARY_REDIRECT)
        .setJson(Json.write(new EvacuationRevision(state.revision())));
  }

  private void enforce(EvacuationState.Snapshot committed, Consumer<AdminReply.Builder> reply) {
    scheduler.setEvacuation(committed);
    scheduler.notifyWhenEvacuated(
        committed.revision(),
        inForce -> {
          boolean acknowledged = inForce && canAccept.getAsBoolean();
          reply.accept(statusOnly(acknowledged ? LeaderClient.OK : LeaderClient.NOT_LEADER));
        });
  }

  private static AdminReply.Builder statusOnly(int status) {
    return AdminReply.newBuilder().setStatus(status);
  }

  private static AdminReply.Builder unknownDataCentre(
      FleetCommand.EvacuationOrder order, EvacuationState.Snapshot state) {
    String message =
        "data centre '"
            + order.dataCentre()
            + "' is unknown: no backend server has registered from it; the known data centres are "
            + String.join(", ", state.known())
            + "; send the order again with one of them";
    return statusOnly(LeaderClient.UNPROCESSABLE)
        .setJson(
            ByteString.copyFrom(ControlResponse.error(LeaderClient.UNPROCESSABLE, message).body()));
  }
}
