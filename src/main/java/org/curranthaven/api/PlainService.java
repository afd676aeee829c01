package org.curranthaven.api;

/**
 * A plain service to which the system routes requests.
 *
 * @param name unique name, as used in request paths
 * @param defaultClass service class of requests that name none
 */
public record PlainService(String name, String defaultClass) {
  public PlainService {
    Names.requireName("service", name);
    Names.requireName("class", defaultClass);
  }
}
