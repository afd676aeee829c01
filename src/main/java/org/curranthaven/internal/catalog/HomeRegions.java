package org.curranthaven.internal.catalog;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * Regions in which requests may run.
 *
 * @param restricted whether there is a restriction; without one, requests may run anywhere, also
 *     where the region is unknown
 * @param names names of the regions; may be empty under a restriction, which nothing satisfies then
 */
public record HomeRegions(boolean restricted, Set<String> names) {
  private static final HomeRegions ANY = new HomeRegions(false, Set.of());

  public HomeRegions {
    names = Set.copyOf(names);
  }

  /** Returns regions without a restriction. */
  public static HomeRegions any() {
    return ANY;
  }

  /** Returns the named regions; any region if none is named. */
  public static HomeRegions of(Collection<String> names) {
    return names.isEmpty() ? ANY : new HomeRegions(true, new HashSet<>(names));
  }

  /** Returns the regions that both allow. */
  public HomeRegions and(HomeRegions other) {
    if (!restricted) {
      return other;
    }
    if (!other.restricted) {
      return this;
    }
    Set<String> common = new HashSet<>(names);
    common.retainAll(other.names);
    return new HomeRegions(true, common);
  }
}
