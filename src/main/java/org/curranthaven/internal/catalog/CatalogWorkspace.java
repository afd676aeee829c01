package org.curranthaven.internal.catalog;

/**
 * A workspace that the catalog defines.
 *
 * @param name name of the workspace
 * @param priority priority of its requests, which overrides the route's; negative if not set
 * @param homeRegions regions in which its requests may run
 */
public record CatalogWorkspace(String name, int priority, HomeRegions homeRegions) {}
