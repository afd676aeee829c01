package org.curranthaven.internal.relay;

import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.curranthaven.api.Outcome;
import org.curranthaven.api.ResultCode;
import org.curranthaven.internal.catalog.Catalog;
import org.curranthaven.internal.catalog.CatalogWorkspace;
import org.curranthaven.internal.catalog.HomeRegions;
import org.curranthaven.internal.catalog.Route;
import org.curranthaven.internal.catalog.ServiceSpec;
import org.jspecify.annotations.Nullable;

/**
 * What the catalog says of a request.
 *
 * @param workspace name of the workspace; empty if the route needs none
 * @param timeoutMillis longest time that the request may take
 * @param priority rank of the workspace, if it has one, or of the route
 */
record RouteChoice(
    Route route,
    ServiceSpec service,
    String workspace,
    long timeoutMillis,
    int priority,
    HomeRegions homeRegions) {
  /**
   * Chooses the route and the service of a request, or returns why it has none.
   *
   * @param random draws a number from 0 to 1, which selects the service
   */
  static Outcome<RouteChoice> of(Catalog catalog, InboundRequest request, DoubleSupplier random) {
    Optional<Route> matchingRoute = catalog.routeFor(request.host(), request.path());
    if (matchingRoute.isEmpty()) {
      return Outcome.failed(
          ResultCode.UNKNOWN_PATH,
          "no route matches host " + request.host() + " and path " + request.path());
    }
    Route route = matchingRoute.get();
    CatalogWorkspace workspace = catalog.workspaceOf(request.key());
    if (catalog.needsKey(route) && workspace == null) {
      return Outcome.failed(
          ResultCode.BAD_KEY,
          "the route requires the key of a workspace; the request has none or an unknown one");
    }
    ServiceSpec service =
        catalog.service(route.serviceFor(RequestTerms.drawFor(request, route, random)));
    if (service == null) {
      return Outcome.failed(
          ResultCode.INTERNAL,
          "route "
              + route.name()
              + " names a service that is not in the catalog; correct the catalog");
    }
    return Outcome.success(
        new RouteChoice(
            route,
            service,
            workspace == null || !catalog.needsKey(route) ? "" : workspace.name(),
            RequestTerms.timeoutMillis(request, route),
            priority(catalog, route, workspace),
            RequestTerms.homeRegions(catalog, route, workspace)));
  }

  private static int priority(Catalog catalog, Route route, @Nullable CatalogWorkspace workspace) {
    boolean hasWorkspacePriority =
        workspace != null && workspace.priority() >= 0 && catalog.needsKey(route);
    return hasWorkspacePriority && workspace != null ? workspace.priority() : route.priority();
  }
}
