package org.curranthaven.internal.catalog;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Everything that operators set for routed calls, under one revision.
 *
 * <pre>{@code
 * Optional<Route> route = catalog.routeFor("stories.example", "/drafts/new");
 * }</pre>
 */
public final class Catalog {
  private final long revision;
  private final RequestLimits limits;
  private final boolean keysRequired;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<String, ServiceSpec> services = new HashMap<>();
  private final Map<String, CatalogWorkspace> workspaceByKey;

  /**
   * Creates a checked catalog.
   *
   * @param workspaceByKey workspaces by their keys; null where callers need no key
   * @throws IllegalArgumentException if a route names an unknown service, or stands where another
   *     one does
   */
  public Catalog(
      long revision,
      List<Route> routes,
      List<ServiceSpec> services,
      RequestLimits limits,
      @Nullable Map<String, CatalogWorkspace> workspaceByKey) {
    this.revision = revision;
    this.limits = limits;
    this.keysRequired = workspaceByKey != null;
    this.workspaceByKey = workspaceByKey == null ? Map.of() : Map.copyOf(workspaceByKey);
    services.forEach(service -> this.services.put(service.name(), service));
    Set<String> places = new HashSet<>();
    for (Route route : routes) {
      checkServices(route);
      if (!places.add(route.host() + " " + route.pathPrefix())) {
        throw new IllegalArgumentException(
            "two routes stand at " + route.host() + route.pathPrefix());
      }
      routesByHost.computeIfAbsent(route.host(), host -> new java.util.ArrayList<>()).add(route);
    }
    Comparator<Route> longestFirst =
        Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
    routesByHost.values().forEach(list -> list.sort(longestFirst));
  }

  private void checkServices(Route route) {
    for (ServiceWeight share : route.services()) {
      if (!services.containsKey(share.service())) {
        throw new IllegalArgumentException(
            "route '" + route.name() + "' names the unknown service '" + share.service() + "'");
      }
    }
  }

  /** Returns a catalog without routes, of revision 0. */
  public static Catalog empty() {
    return new Catalog(0, List.of(), List.of(), RequestLimits.standard(), Map.of());
  }

  /** Returns the revision. */
  public long revision() {
    return revision;
  }

  /** Returns the bounds on what callers may send. */
  public RequestLimits limits() {
    return limits;
  }

  /** Returns the route with the longest prefix that begins the path. */
  public Optional<Route> routeFor(String host, String path) {
    List<Route> routes = routesByHost.get(host.toLowerCase(Locale.ROOT));
    return routes == null
        ? Optional.empty()
        : routes.stream().filter(route -> path.startsWith(route.pathPrefix())).findFirst();
  }

  /** Returns the service of the name, or null. */
  public @Nullable ServiceSpec service(String name) {
    return services.get(name);
  }

  /** Returns whether a call of the route needs a key. */
  public boolean needsKey(Route route) {
    return keysRequired && !route.anonymous();
  }

  /** Returns the workspace that holds the key, or null. */
  public @Nullable CatalogWorkspace workspaceOf(String key) {
    return workspaceByKey.get(key);
  }
}
