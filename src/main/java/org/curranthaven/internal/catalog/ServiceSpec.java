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
 */
public record ServiceSpec(
    String name,
    int maxConnections,
    @Nullable EngineCapabilities engine,
    @Nullable ColdStart coldStart) {
  /** Creates a service whose backend servers accept requests at any rate after their start. */
  public ServiceSpec(String name, int maxConnections, @Nullable EngineCapabilities engine) {
    this(name, maxConnections, engine, null);
  }
}
