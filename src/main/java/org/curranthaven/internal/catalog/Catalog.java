package org.curranthaven.internal.catalog;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Routes, services, limits and workspaces that operators configure for routed requests, under one
 * revision. Immutable.
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
  private final Set<String> servicesOnSharedRoutes;
  private final Map<String, CatalogWorkspace> workspaceByKey;

  /**
   * Creates a catalog and checks it.
   *
   * @param workspaceByKey workspaces by API key; null if callers need no key
   * @throws IllegalArgumentException if a route refers to an undefined service, or two routes have
   *     the same host and path prefix
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
    Set<String> hostsAndPrefixes = new HashSet<>();
    for (Route route : routes) {
      checkServices(route);
      if (!hostsAndPrefixes.add(route.host() + " " + route.pathPrefix())) {
        throw new IllegalArgumentException(
            "route '"
                + route.name()
                + "' has the same host and path prefix as another route: "
                + route.host()
                + route.pathPrefix()
                + "; change or remove one of them");
      }
      routesByHost.computeIfAbsent(route.host(), host -> new java.util.ArrayList<>()).add(route);
    }
    Comparator<Route> longestFirst =
        Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
    routesByHost.values().forEach(list -> list.sort(longestFirst));
    this.servicesOnSharedRoutes =
        routes.stream()
            .filter(Route::hasSeveralServices)
            .flatMap(route -> route.services().stream())
            .map(ServiceWeight::service)
            .collect(Collectors.toUnmodifiableSet());
  }

  private void checkServices(Route route) {
    for (ServiceWeight target : route.services()) {
      if (!services.containsKey(target.service())) {
        throw new IllegalArgumentException(
            "route '"
                + route.name()
                + "' refers to service '"
                + target.service()
                + "', which the catalog does not define; define the service or correct its name");
      }
    }
  }

  /** Returns a catalog of revision 0 without routes, services or keys. */
  public static Catalog empty() {
    return new Catalog(0, List.of(), List.of(), RequestLimits.standard(), Map.of());
  }

  public long revision() {
    return revision;
  }

  /** Returns the limits on the size and timing of what callers send. */
  public RequestLimits limits() {
    return limits;
  }

  /** Returns the route of the host with the longest path prefix that matches. */
  public Optional<Route> routeFor(String host, String path) {
    List<Route> routes = routesByHost.get(host.toLowerCase(Locale.ROOT));
    return routes == null
        ? Optional.empty()
        : routes.stream().filter(route -> path.startsWith(route.pathPrefix())).findFirst();
  }

  /** Returns the longest time that any route allows a request; 0 without routes. */
  public long longestTimeoutMillis() {
    return routesByHost.values().stream()
        .flatMap(List::stream)
        .mapToLong(Route::timeoutMillis)
        .max()
        .orElse(0);
  }

  /** Returns the service with the name; null if the catalog does not define it. */
  public @Nullable ServiceSpec service(String name) {
    return services.get(name);
  }

  /** Returns the services that share a route with another one. */
  public Set<String> servicesOnSharedRoutes() {
    return servicesOnSharedRoutes;
  }

  /** Returns whether a request on the route needs an API key. */
  public boolean needsKey(Route route) {
    return keysRequired && !route.anonymous();
  }

  /** Returns the workspace to which the API key belongs; null if the key is unknown. */
  public @Nullable CatalogWorkspace workspaceOf(String key) {
    return workspaceByKey.get(key);
  }
}
