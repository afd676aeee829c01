package org.curranthaven.internal.catalog;

import java.util.Comparator;

/**
 * Software version of a service's backend servers.
 *
 * @param service name of the service
 * @param version version of the software; empty for backend servers that state none
 */
public record ServiceVersion(String service, String version) implements Comparable<ServiceVersion> {
  private static final Comparator<ServiceVersion> ORDER =
      Comparator.comparing(ServiceVersion::service).thenComparing(ServiceVersion::version);

  /**
   * Returns whether two software versions are known to be the same, so that a stream of the one may
   * go on at the other. An unknown version, which is empty, is the same as none.
   */
  public static boolean isSame(String version, String other) {
    return !version.isEmpty() && version.equals(other);
  }

  @Override
  public int compareTo(ServiceVersion other) {
    return ORDER.compare(this, other);
  }
}
