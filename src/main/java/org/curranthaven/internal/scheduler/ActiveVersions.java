package org.curranthaven.internal.scheduler;

/**
 * Versions that a gateway has applied, or must apply before something is acknowledged; 0 stands for
 * no requirement.
 *
 * @param backends version of the list of backend servers
 * @param catalog revision of the catalog
 * @param evacuation revision of the evacuated data centres
 */
record ActiveVersions(long backends, long catalog, long evacuation) {
  /** Versions above every requirement, as if no gateway were connected. */
  static final ActiveVersions UNBOUNDED =
      new ActiveVersions(Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);

  static ActiveVersions ofBackends(long version) {
    return new ActiveVersions(version, 0, 0);
  }

  static ActiveVersions ofCatalog(long revision) {
    return new ActiveVersions(0, revision, 0);
  }

  static ActiveVersions ofEvacuation(long revision) {
    return new ActiveVersions(0, 0, revision);
  }

  /** Returns the versions that both have applied. */
  ActiveVersions least(ActiveVersions other) {
    return new ActiveVersions(
        Math.min(backends, other.backends),
        Math.min(catalog, other.catalog),
        Math.min(evacuation, other.evacuation));
  }

  boolean fulfils(ActiveVersions required) {
    return backends >= required.backends
        && catalog >= required.catalog
        && evacuation >= required.evacuation;
  }
}
