package org.curranthaven.internal.scheduler;

import java.util.HashSet;
import java.util.Set;
import org.curranthaven.internal.catalog.EvacuationState;
import org.curranthaven.internal.transport.wire.Evacuation;
import org.curranthaven.internal.transport.wire.SchedulerView;
import org.tinylog.Logger;

/**
 * Committed orders to evacuate data centres, as the leader publishes them to the gateways, and the
 * data centres that it has recorded as known. Confined to the event loop.
 */
final class EvacuationOrders {
  private final DataCentreLog log;

  /** Data centres that are in the replicated log or on their way to it. */
  private final Set<String> recorded = new HashSet<>();

  private EvacuationState.Snapshot committed = EvacuationState.Snapshot.EMPTY;

  EvacuationOrders(DataCentreLog log) {
    this.log = log;
  }

  /** Returns the number of changes of the evacuated data centres. */
  long revision() {
    return committed.revision();
  }

  Set<String> dataCentres() {
    return Set.copyOf(committed.evacuated());
  }

  /**
   * Takes over a committed state; returns whether the evacuated data centres changed. Replies of
   * the log may arrive out of order, so that an earlier state changes nothing.
   */
  boolean update(EvacuationState.Snapshot newer) {
    recorded.addAll(newer.known());
    if (newer.revision() <= committed.revision()) {
      return false;
    }
    logDifference("evacuation of data centre {} ordered (revision {})", newer, committed, newer);
    logDifference("evacuation of data centre {} ended (revision {})", committed, newer, newer);
    committed = newer;
    return true;
  }

  /** Logs the data centres that are evacuated in one state and not in another. */
  private static void logDifference(
      String message,
      EvacuationState.Snapshot state,
      EvacuationState.Snapshot other,
      EvacuationState.Snapshot newer) {
    state.evacuated().stream()
        .filter(dataCentre -> !other.evacuated().contains(dataCentre))
        .forEach(dataCentre -> Logger.info(message, dataCentre, newer.revision()));
  }

  /** Logs that every connected gateway has applied a revision. */
  static void logInForce(Set<String> dataCentres, long revision, int gatewayCount) {
    if (gatewayCount > 0) {
      Logger.info(
          "evacuated data centres {} by revision {}: in force at all {} connected gateways",
          dataCentres,
          revision,
          gatewayCount);
    }
  }

  /** Adds the evacuated data centres to a view unless its gateway has acknowledged them. */
  void addTo(SchedulerView.Builder view, long acknowledgedRevision) {
    if (acknowledgedRevision < committed.revision()) {
      view.setEvacuation(
          Evacuation.newBuilder()
              .setRevision(committed.revision())
              .addAllDataCentres(committed.evacuated()));
    }
  }

  /** Forgets the data centres whose addition to the log an earlier term may not have finished. */
  void forgetUncommitted() {
    recorded.clear();
    recorded.addAll(committed.known());
  }

  /** Records in the replicated log that a backend server of the data centre has registered. */
  void recordKnown(String dataCentre) {
    if (dataCentre.isEmpty() || !recorded.add(dataCentre)) {
      return;
    }
    log.add(
        dataCentre,
        accepted -> {
          if (!accepted) {
            recorded.remove(dataCentre);
          }
        });
  }
}
