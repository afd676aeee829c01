package org.curranthaven.internal.catalog;

/**
 * Share of a route's calls that go to a service.
 *
 * @param service name of the service
 * @param weight share, relative to the other services of the route
 */
public record ServiceWeight(String service, double weight) {
  public ServiceWeight {
    if (weight < 0) {
      throw new IllegalArgumentException("weight must not be negative");
    }
  }
}
