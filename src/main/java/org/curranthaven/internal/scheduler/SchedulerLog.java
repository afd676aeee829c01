package org.curranthaven.internal.scheduler;

import java.util.Collection;
import java.util.function.Consumer;
import org.curranthaven.internal.catalog.CrashSuspectState;
import org.curranthaven.internal.catalog.ServiceVersion;
import org.curranthaven.internal.configuration.FleetCommand;

/**
 * Replicates what the next scheduler has to know that no gateway may be left to tell: the software
 * versions that backend servers serve with, which of them began streams, and what may crash
 * servers.
 */
interface SchedulerLog {
  /**
   * Adds a version. The callback runs on the event loop, with whether the version is committed; it
   * is not if this host no longer leads.
   */
  void add(ServiceVersion version, Consumer<Boolean> callback);

  /** Removes versions, best effort. */
  void remove(Collection<ServiceVersion> versions);

  /** Records origins of streams. The callback is as for {@link #add}. */
  void recordOrigins(FleetCommand.RecordStreamOrigins origins, Consumer<Boolean> callback);

  /** Records what may crash backend servers. The callback is as for {@link #add}. */
  void recordCrashSuspects(CrashSuspectState.Snapshot suspects, Consumer<Boolean> callback);
}
