package org.curranthaven.internal.catalog;

/**
 * Share of a route's requests that goes to a service.
 *
 * @param service name of the service
 * @param weight relative share, compared with the weights of the route's other services
 */
public record ServiceWeight(String service, double weight) {
  public ServiceWeight {
    if (weight < 0) {
      throw new IllegalArgumentException(
          "service '" + service + "' has the weight " + weight + "; set it to 0 or above");
    }
  }
}
