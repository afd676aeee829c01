package org.curranthaven.internal.catalog;

/**
 * A workspace as the catalog names it.
 *
 * @param name name of the workspace
 * @param priority rank of its calls, before the route's own; negative where it has none
 */
public record CatalogWorkspace(String name, int priority) {}
