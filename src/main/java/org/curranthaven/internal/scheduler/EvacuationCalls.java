package org.curranthaven.internal.scheduler;

import com.google.protobuf.ByteString;
import java.util.function.Consumer;
import org.curranthaven.internal.configuration.FleetCommand;
import org.curranthaven.internal.relay.OperatorCall;
import org.curranthaven.internal.settings.Json;
import org.curranthaven.internal.supervision.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Takes in operators' orders to evacuate a data centre and their withdrawals, on any control host,
 * and has the leader carry them out. An order that was not made for the present state is answered
 * with a redirect to itself that names the revision: a sender that no longer waits does not follow
 * it, so that a copy which was held up has no effect. Confined to the event loop.
 */
final class EvacuationCalls {
  private final String host;
  private final Clock clock;
  private final Leader leader;
  private final Encoder encoder;
  private final RequestLog log = new RequestLog();

  /** Carries out orders. */
  interface Leader {
    void send(FleetCommand.EvacuationOrder order, Consumer<ControlResponse> callback);
  }

  /** Encodes an order as an operator sends it. */
  interface Encoder {
    OperatorCall encode(String dataCentre, boolean ends, @Nullable Long revision);
  }

  EvacuationCalls(String host, Clock clock, Leader leader, Encoder encoder) {
    this.host = host;
    this.clock = clock;
    this.leader = leader;
    this.encoder = encoder;
  }

  /** Handles an order; the callback receives the response to its sender. */
  void handle(FleetCommand.EvacuationOrder order, Consumer<ControlResponse> callback) {
    long receivedMillis = clock.nowMillis();
    log.write(receivedMillis, "host {}: order {} received", host, order);
    leader.send(
        order,
        response -> {
          ControlResponse complete =
              response.status() == LeaderClient.TEMPORARY_REDIRECT
                  ? redirect(order, response)
                  : response;
          logOutcome(order, complete, receivedMillis);
          callback.accept(complete);
        });
  }

  private ControlResponse redirect(FleetCommand.EvacuationOrder order, ControlResponse response) {
    long revision =
        Json.read(ByteString.copyFrom(response.body()), EvacuationRevision.class).revision();
    boolean ends = order instanceof FleetCommand.EndEvacuation;
    String location = encoder.encode(order.dataCentre(), ends, revision).path();
    return new ControlResponse(response.status(), response.body(), location);
  }

  private void logOutcome(
      FleetCommand.EvacuationOrder order, ControlResponse response, long receivedMillis) {
    long nowMillis = clock.nowMillis();
    String location = response.location();
    log.write(
        nowMillis,
        "host {}: order {} answered with status {}{} after {} ms",
        host,
        order,
        response.status(),
        location == null ? "" : ", redirected to " + location,
        nowMillis - receivedMillis);
  }
}
