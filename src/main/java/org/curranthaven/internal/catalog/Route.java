package org.curranthaven.internal.catalog;

import java.util.List;

/**
 * Calls of one host name and path prefix, and what is promised for them.
 *
 * @param name name of the route
 * @param host host name that selects it, in lower case
 * @param pathPrefix beginning of the paths that select it; ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis longest time that a call is kept waiting for its whole answer
 * @param targetMillis time within which the answer, or a stream's first event, is due
 * @param gapTargetMillis longest pause between a stream's events; 0 where there is none
 * @param priority rank; 0 is the most urgent
 * @param attempts most backend servers that may run one call
 * @param anonymous whether calls need no key
 * @param resumable whether a stream may go on at another backend server
 * @param services services that the calls go to, at least one of them with a weight above 0
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
    List<ServiceWeight> services) {
  public Route {
    services = List.copyOf(services);
    if (timeoutMillis <= 0) {
      throw new IllegalArgumentException("route '" + name + "' has no time limit above 0");
    }
    if (services.stream().mapToDouble(ServiceWeight::weight).sum() <= 0) {
      throw new IllegalArgumentException("route '" + name + "' sends calls to no service");
    }
  }

  /** Returns whether a call may run more than once. */
  public boolean isRepeatable() {
    return kind == Repeatability.IDEMPOTENT || (kind == Repeatability.STREAM && resumable);
  }

  /**
   * Returns the service of a call.
   *
   * @param draw number from 0 to 1, drawn for the call
   */
  public String serviceFor(double draw) {
    double left = draw * services.stream().mapToDouble(ServiceWeight::weight).sum();
    for (ServiceWeight share : services) {
      left -= share.weight();
      if (left < 0) {
        return share.service();
      }
    }
    return services.stream().filter(s -> s.weight() > 0).toList().getLast().service();
  }
}
