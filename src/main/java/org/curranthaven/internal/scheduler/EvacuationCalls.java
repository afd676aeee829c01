package org.curranthaven.internal.scheduler;

import java.util.function.Consumer;
import org.curranthaven.internal.configuration.FleetCommand;
import org.curranthaven.internal.supervision.Clock;

/**
 * Takes in operators' orders to evacuate a data centre and their withdrawals, on any control host,
 * and has the leader carry them out. Confined to the event loop.
 */
final class EvacuationCalls {
  private final String host;
  private final Clock clock;
  private final Leader leader;
  private final OrderLog log = new OrderLog();

  /** Carries out orders. */
  interface Leader {
    void send(FleetCommand order, Consumer<ControlResponse> callback);
  }

  EvacuationCalls(String host, Clock clock, Leader leader) {
    this.host = host;
    this.clock = clock;
    this.leader = leader;
  }

  void evacuate(String dataCentre, Consumer<ControlResponse> callback) {
    forward("evacuate", dataCentre, new FleetCommand.Evacuate(dataCentre), callback);
  }

  void endEvacuation(String dataCentre, Consumer<ControlResponse> callback) {
    forward(
        "end the evacuation of", dataCentre, new FleetCommand.EndEvacuation(dataCentre), callback);
  }

  private void forward(
      String kind, String dataCentre, FleetCommand order, Consumer<ControlResponse> callback) {
    long receivedMillis = clock.nowMillis();
    log.write(
        receivedMillis, "order to {} data centre {} received by host {}", kind, dataCentre, host);
    leader.send(
        order,
        response -> {
          long nowMillis = clock.nowMillis();
          log.write(
              nowMillis,
              "order to {} data centre {} answered with status {} after {} ms",
              kind,
              dataCentre,
              response.status(),
              nowMillis - receivedMillis);
          callback.accept(response);
        });
  }
}
