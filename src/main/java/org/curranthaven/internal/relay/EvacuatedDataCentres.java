package org.curranthaven.internal.relay;

import java.util.Set;
import java.util.TreeSet;
import org.curranthaven.internal.transport.wire.BackendRecord;
import org.curranthaven.internal.transport.wire.Evacuation;
import org.tinylog.Logger;

/**
 * Evacuated data centres as a scheduler published them last; they hold while there is no scheduler.
 * Not thread-safe.
 */
final class EvacuatedDataCentres {
  private Set<String> names = Set.of();
  private long revision;

  /** Returns the number of the latest change; 0 if there was none. */
  long revision() {
    return revision;
  }

  /** Returns the names of the data centres, sorted. */
  Set<String> names() {
    return names;
  }

  boolean contains(BackendRecord backend) {
    return names.contains(backend.getDataCentre());
  }

  /** Replaces the data centres unless a later change is known; returns whether it did. */
  boolean update(Evacuation published) {
    if (published.getRevision() <= revision) {
      return false;
    }
    revision = published.getRevision();
    names = new TreeSet<>(published.getDataCentresList());
    Logger.info("evacuated data centres, by revision {}: {}", revision, names);
    return true;
  }
}
