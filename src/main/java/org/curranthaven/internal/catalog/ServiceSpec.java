package org.curranthaven.internal.catalog;

import org.jspecify.annotations.Nullable;

/**
 * A service that backend servers register for.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections that one backend server accepts in total
 * @param engine capabilities of its engines; null for a plain service
 */
public record ServiceSpec(String name, int maxConnections, @Nullable EngineCapabilities engine) {}
