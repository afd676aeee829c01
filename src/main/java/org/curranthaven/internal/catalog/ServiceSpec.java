package org.curranthaven.internal.catalog;

import org.jspecify.annotations.Nullable;

/**
 * A service that backend servers register for.
 *
 * @param name name of the service
 * @param maxConnections connections that one backend server accepts from all callers together
 * @param engine what its engines can do; null for a plain service
 */
public record ServiceSpec(String name, int maxConnections, @Nullable EngineCapabilities engine) {}
