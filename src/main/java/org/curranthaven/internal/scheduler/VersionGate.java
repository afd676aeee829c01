package org.curranthaven.internal.scheduler;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.curranthaven.internal.catalog.ServiceVersion;
import org.curranthaven.internal.dispatch.StreamOrigins;
import org.tinylog.Logger;

/**
 * Holds back backend servers of a software version until the version is in the replicated log, so
 * that a leader which has lost all else still knows at which versions streams can have begun.
 * Confined to the event loop.
 */
final class VersionGate {
  private final SchedulerLog log;
  private final Set<ServiceVersion> committed = new HashSet<>();
  private final Map<ServiceVersion, List<Consumer<Boolean>>> awaiting = new HashMap<>();

  /** When a backend server of each committed version was last known, or this host began to lead. */
  private final Map<ServiceVersion, Long> servedAtMillis = new HashMap<>();

  VersionGate(SchedulerLog log) {
    this.log = log;
  }

  /** Starts from the versions that earlier leaders committed; fails what still waits. */
  void reset(Collection<ServiceVersion> versions, long nowMillis) {
    List<Consumer<Boolean>> failed =
        awaiting.values().stream().<Consumer<Boolean>>mapMulti(List::forEach).toList();
    awaiting.clear();
    committed.clear();
    servedAtMillis.clear();
    committed.addAll(versions);
    committed.forEach(version -> servedAtMillis.put(version, nowMillis));
    failed.forEach(action -> action.accept(false));
  }

  /**
   * Runs the action once the version is committed, which may be at once; passes it whether the
   * version is.
   */
  void whenCommitted(ServiceVersion version, Consumer<Boolean> action) {
    if (committed.contains(version)) {
      action.accept(true);
      return;
    }
    List<Consumer<Boolean>> actions = awaiting.get(version);
    if (actions != null) {
      actions.add(action);
      return;
    }
    List<Consumer<Boolean>> newActions = new ArrayList<>(List.of(action));
    awaiting.put(version, newActions);
    Logger.info(
        "software version \"{}\" of service {} is new; its backend servers are held back until it is"
            + " in the replicated log",
        version.version(),
        version.service());
    log.add(version, accepted -> addFinished(version, newActions, accepted));
  }

  private void addFinished(
      ServiceVersion version, List<Consumer<Boolean>> actions, boolean accepted) {
    // A reset since then has failed these actions, and others may wait in another term.
    if (!awaiting.remove(version, actions)) {
      return;
    }
    if (accepted) {
      Logger.info(
          "software version \"{}\" of service {} is in the replicated log; {} registrations of it are"
              + " released",
          version.version(),
          version.service(),
          actions.size());
      committed.add(version);
    }
    actions.forEach(action -> action.accept(accepted));
  }

  /**
   * Removes versions from the log of which no backend server has been known for as long as streams
   * may be taken up.
   *
   * @param serving versions of the backend servers known now
   */
  void removeOutdated(Set<ServiceVersion> serving, long nowMillis) {
    serving.forEach(version -> servedAtMillis.put(version, nowMillis));
    List<ServiceVersion> outdated =
        committed.stream()
            .filter(version -> !serving.contains(version))
            .filter(version -> isOutdated(version, nowMillis))
            .toList();
    if (outdated.isEmpty()) {
      return;
    }
    Logger.info("software versions {} are no longer served; removing them from the log", outdated);
    committed.removeAll(outdated);
    outdated.forEach(servedAtMillis::remove);
    log.remove(outdated);
  }

  private boolean isOutdated(ServiceVersion version, long nowMillis) {
    long atMillis = servedAtMillis.getOrDefault(version, nowMillis);
    return nowMillis - atMillis > StreamOrigins.RETENTION_MILLIS;
  }
}
