package org.curranthaven.internal.catalog;

import java.util.List;

/**
 * Rules for the requests with one host name and path prefix: where they go, their targets and how
 * they may be retried.
 *
 * @param name name of the route
 * @param host host name that requests must have, in lower case
 * @param pathPrefix prefix that request paths must have; ends with a slash
 * @param kind whether requests may run more than once
 * @param timeoutMillis maximum time until the complete response
 * @param targetMillis time within which the response, or a stream's first event, is due
 * @param gapTargetMillis target for the longest gap between a stream's events; 0 for none
 * @param priority priority of requests; 0 is the most urgent
 * @param attempts maximum number of attempts per request
 * @param anonymous whether requests need no API key
 * @param resumable whether a stream may resume on another backend server
 * @param services services that requests are distributed to; at least one has a weight above 0
 * @param homeRegions regions in which requests may run
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    Repeatability kind,
    long timeoutMillis,
    long targetMillis,
    long gapTargetMillis,
    int priority,
    int attempts,
    boolean anonymous,
    boolean resumable,
    List<ServiceWeight> services,
    HomeRegions homeRegions) {
  public Route {
    services = List.copyOf(services);
    if (timeoutMillis <= 0) {
      throw new IllegalArgumentException(
          "route '"
              + name
              + "' has a timeout of "
              + timeoutMillis
              + " ms; set it to a value above 0");
    }
    if (services.stream().mapToDouble(ServiceWeight::weight).sum() <= 0) {
      throw new IllegalArgumentException(
          "route '"
              + name
              + "' has no service with a weight above 0; give at least one service a weight");
    }
  }

  /** Creates a route whose requests may run in any region. */
  public Route(
      String name,
      String host,
      String pathPrefix,
      Repeatability kind,
      long timeoutMillis,
      long targetMillis,
      long gapTargetMillis,
      int priority,
      int attempts,
      boolean anonymous,
      boolean resumable,
      List<ServiceWeight> services) {
    this(
        name,
        host,
        pathPrefix,
        kind,
        timeoutMillis,
        targetMillis,
        gapTargetMillis,
        priority,
        attempts,
        anonymous,
        resumable,
        services,
        HomeRegions.any());
  }

  /** Returns whether a request may run more than once. */
  public boolean isRepeatable() {
    return kind == Repeatability.IDEMPOTENT || (kind == Repeatability.STREAM && resumable);
  }

  /** Returns whether requests are distributed among several services. */
  public boolean hasSeveralServices() {
    return services.stream().filter(target -> target.weight() > 0).count() > 1;
  }

  /**
   * Selects the service of a request by weight.
   *
   * @param draw random number from 0 (inclusive) to 1 (exclusive), drawn for the request
   */
  public String serviceFor(double draw) {
    double remaining = draw * services.stream().mapToDouble(ServiceWeight::weight).sum();
    for (ServiceWeight target : services) {
      remaining -= target.weight();
      if (remaining < 0) {
        return target.service();
      }
    }
    return services.stream().filter(target -> target.weight() > 0).toList().getLast().service();
  }
}
