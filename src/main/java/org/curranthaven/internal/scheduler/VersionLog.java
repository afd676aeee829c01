package org.curranthaven.internal.scheduler;

import java.util.Collection;
import java.util.function.Consumer;
import org.curranthaven.internal.catalog.ServiceVersion;
import org.curranthaven.internal.configuration.FleetCommand;

/**
 * Replicates the software versions that backend servers serve with, and which of them began
 * streams.
 */
interface VersionLog {
  /**
   * Adds a version. The callback runs on the event loop, with whether the version is committed; it
   * is not if this host no longer leads.
   */
  void add(ServiceVersion version, Consumer<Boolean> callback);

  /** Removes versions, best effort. */
  void remove(Collection<ServiceVersion> versions);

  /** Records origins of streams. The callback is as for {@link #add}. */
  void recordOrigins(FleetCommand.RecordStreamOrigins origins, Consumer<Boolean> callback);
}
