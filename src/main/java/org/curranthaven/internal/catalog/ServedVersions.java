package org.curranthaven.internal.catalog;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Replicated software versions at which streams may have begun lately, by service. The leader adds
 * a version before any gateway may use a backend server that has it, and removes it once no stream
 * that began at it can be taken up. Not thread-safe.
 */
public final class ServedVersions {
  private final Set<ServiceVersion> versions = new TreeSet<>();

  /** Snapshot of the state. */
  public record Snapshot(List<ServiceVersion> versions) {
    public Snapshot {
      versions = List.copyOf(versions);
    }
  }

  /** Adds a version; returns whether it was not known. */
  public boolean add(ServiceVersion version) {
    return versions.add(version);
  }

  /** Removes versions; returns whether at least one of them was known. */
  public boolean removeAll(Collection<ServiceVersion> outdated) {
    return versions.removeAll(outdated);
  }

  /** Returns the versions, sorted. */
  public List<ServiceVersion> all() {
    return new ArrayList<>(versions);
  }

  /** Returns a snapshot of the state. */
  public Snapshot snapshot() {
    return new Snapshot(all());
  }

  /** Replaces the state by a snapshot. */
  public void restore(Snapshot snapshot) {
    versions.clear();
    versions.addAll(snapshot.versions());
  }
}
