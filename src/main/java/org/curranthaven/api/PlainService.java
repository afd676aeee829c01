package org.curranthaven.api;

/**
 * A plain service that the system routes to.
 *
 * @param name unique name, as it stands in the path
 * @param defaultClass class of calls that name none
 */
public record PlainService(String name, String defaultClass) {
  public PlainService {
    Names.requireName("service", name);
    Names.requireName("class", defaultClass);
  }
}
