package org.curranthaven.internal.scheduler;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.curranthaven.internal.catalog.StreamOriginState;
import org.curranthaven.internal.configuration.FleetCommand;
import org.curranthaven.internal.dispatch.StreamOrigins;
import org.curranthaven.internal.transport.wire.ServedVersion;
import org.tinylog.Logger;

/**
 * Puts the origins of streams into the replicated log, so that streams can be taken up after the
 * loss of any hosts. Origins are gathered, and one command is on its way at a time: what a second
 * command would cost a slow log, later streams share. Confined to the event loop.
 */
final class StreamOriginLog {
  /** Origins in one command; bounds its size. */
  static final int MAX_STREAMS = 4_000;

  /** Generations of origins that the log holds. */
  private static final int GENERATIONS = 2;

  private final SchedulerLog log;
  private StreamOriginState.Snapshot committed = StreamOriginState.Snapshot.EMPTY;
  private StreamOrigins origins = new StreamOrigins();

  /** Number of starts; a command of an earlier one no longer counts. */
  private long starts;

  private boolean awaitingCommit;

  /** Generations to start until the log holds no origins, if none are added. */
  private int generationsToForget;

  private long generationStartedMillis;

  StreamOriginLog(SchedulerLog log) {
    this.log = log;
  }

  /** Takes over what earlier leaders have committed, for the next {@link #start}. */
  void setCommitted(StreamOriginState.Snapshot newlyCommitted) {
    committed = newlyCommitted;
  }

  /** Starts to lead: adds the committed origins to the known ones. */
  void start(StreamOrigins known, long nowMillis) {
    origins = known;
    origins.restoreRecorded(committed, nowMillis);
    generationsToForget = committed.holdsStreams() ? GENERATIONS : 0;
    committed = StreamOriginState.Snapshot.EMPTY;
    generationStartedMillis = nowMillis;
    awaitingCommit = false;
    starts++;
  }

  /**
   * Records the origins that are not in the log yet, unless a command is on its way. Where one
   * version of a service has served lately, the versions in the log tell its origin.
   *
   * @param servedVersions versions that have served lately
   * @param sharedServices services that share a route, so that an origin has to name the service
   */
  void write(Collection<ServedVersion> servedVersions, Set<String> sharedServices, long nowMillis) {
    if (awaitingCommit) {
      return;
    }
    boolean startsGeneration =
        generationsToForget > 0
            && nowMillis - generationStartedMillis >= StreamOrigins.RETENTION_MILLIS;
    if (startsGeneration) {
      generationsToForget--;
      generationStartedMillis = nowMillis;
      origins.startGeneration();
    }
    List<StreamOriginState.BegunAt> taken =
        origins.takeUnrecorded(ambiguous(servedVersions, sharedServices), MAX_STREAMS);
    if (!taken.isEmpty()) {
      generationsToForget = GENERATIONS;
    }
    if (!taken.isEmpty() || startsGeneration) {
      propose(new FleetCommand.RecordStreamOrigins(taken, startsGeneration));
    }
  }

  /** Returns the services of which an unknown stream may have begun at several versions. */
  private static Set<String> ambiguous(
      Collection<ServedVersion> servedVersions, Set<String> sharedServices) {
    Set<String> served = new HashSet<>();
    Set<String> ambiguous = new HashSet<>(sharedServices);
    for (ServedVersion version : servedVersions) {
      if (!served.add(version.getService())) {
        ambiguous.add(version.getService());
      }
    }
    return ambiguous;
  }

  private void propose(FleetCommand.RecordStreamOrigins command) {
    awaitingCommit = true;
    long startOfCommand = starts;
    log.recordOrigins(command, accepted -> finished(command, startOfCommand, accepted));
  }

  private void finished(
      FleetCommand.RecordStreamOrigins command, long startOfCommand, boolean accepted) {
    if (startOfCommand != starts) {
      return;
    }
    awaitingCommit = false;
    if (!accepted) {
      Logger.warn(
          "origins of {} streams could not be recorded; they are recorded again",
          command.origins().stream().mapToInt(origin -> origin.streams().size()).sum());
      origins.restoreUnrecorded(command.origins());
    }
  }
}
