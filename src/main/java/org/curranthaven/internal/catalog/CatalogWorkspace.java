package org.curranthaven.internal.catalog;

/**
 * A workspace that the catalog defines.
 *
 * @param name name of the workspace
 * @param priority priority of its requests, which overrides the route's; negative if not set
 */
public record CatalogWorkspace(String name, int priority) {}
