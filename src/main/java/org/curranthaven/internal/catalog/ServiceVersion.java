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

  @Override
  public int compareTo(ServiceVersion other) {
    return ORDER.compare(this, other);
  }
}
