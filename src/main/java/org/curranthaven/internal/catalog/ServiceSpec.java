package org.curranthaven.internal.catalog;

import org.jspecify.annotations.Nullable;

/**
 * A service that backend servers register for.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections that one backend server accepts in total
 * @param engine capabilities of its engines; null for a plain service
 * @param coldStart how its backend servers behave after their start; null if they accept requests
 *     at any rate
 * @param healthPath path at which its backend servers state whether they are healthy
 */
public record ServiceSpec(
    String name,
    int maxConnections,
    @Nullable EngineCapabilities engine,
    @Nullable ColdStart coldStart,
    String healthPath) {
  private static final String ANY_PATH = "/";

  /** Creates a service whose backend servers accept requests at any rate after their start. */
  public ServiceSpec(String name, int maxConnections, @Nullable EngineCapabilities engine) {
    this(name, maxConnections, engine, null);
  }

  /** Creates a service that names no path for health checks. */
  public ServiceSpec(
      String name,
      int maxConnections,
      @Nullable EngineCapabilities engine,
      @Nullable ColdStart coldStart) {
    this(name, maxConnections, engine, coldStart, ANY_PATH);
  }
}
