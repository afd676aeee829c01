package org.curranthaven.internal.scheduler;

import java.util.Collection;
import java.util.function.Consumer;
import org.curranthaven.internal.catalog.ServiceVersion;

/** Replicates the software versions that backend servers serve with. */
interface VersionLog {
  /**
   * Adds a version. The callback runs on the event loop, with whether the version is committed; it
   * is not if this host no longer leads.
   */
  void add(ServiceVersion version, Consumer<Boolean> callback);

  /** Removes versions, best effort. */
  void remove(Collection<ServiceVersion> versions);
}
